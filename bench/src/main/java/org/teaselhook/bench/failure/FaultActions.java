package org.teaselhook.bench.failure;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.teaselhook.bench.history.HistoryEvent;
import org.teaselhook.bench.history.HistoryRecorder;
import org.teaselhook.bench.process.AgentNode;
import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.HealthProbe;
import org.teaselhook.bench.process.Link;
import org.teaselhook.bench.process.ProcessNode;
import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.TargetNode;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.standin.relay.RelayDirection;
import org.teaselhook.standin.table.TableFaults;
import org.teaselhook.standin.target.RunTime;
import org.teaselhook.standin.target.TargetBehaviour;

/** Injects faults into a site and ends them. Each method is called by the thread of the fault's sequence. */
final class FaultActions {

    static final TargetBehaviour NORMAL_BEHAVIOUR = TargetBehaviour.of(
                    RunTime.logUniform(20, 400).mixedWith(0.04, RunTime.uniform(1_500, 3_500)))
            .returningAttempt(true);

    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(20);
    private static final double SLOW_FACTOR = 10;

    private final Site site;
    private final HistoryRecorder recorder;
    private final Downtimes downtimes;
    private final LinkCuts cuts = new LinkCuts();
    private final Map<String, ProcessNode> processes;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, TargetNode> targets;

    FaultActions(Site site, HistoryRecorder recorder, Downtimes downtimes) {
        this.site = site;
        this.recorder = recorder;
        this.downtimes = downtimes;
        this.processes = site.processes().collect(Collectors.toMap(ProcessNode::name, Function.identity()));
        site.entries().forEach(entry -> addresses.put(entry.process().name(), entry.http()));
        site.agents().forEach(agent -> addresses.put(agent.process().name(), agent.http()));
        this.targets = site.agents().stream()
                .map(AgentNode::target)
                .collect(Collectors.toMap(TargetNode::name, Function.identity()));
    }

    // -- processes

    void kill(PlannedFault fault) {
        processes(fault).forEach(process -> {
            downtimes.markDown(process.name(), recorder.nowNanos());
            process.kill();
        });
    }

    void restart(PlannedFault fault) {
        processes(fault).forEach(this::start);
    }

    void freeze(PlannedFault fault) {
        processes(fault).forEach(process -> {
            downtimes.markDown(process.name(), recorder.nowNanos());
            process.pause();
        });
    }

    void resume(PlannedFault fault) {
        processes(fault).forEach(process -> {
            process.resume();
            downtimes.markUp(process.name(), recorder.nowNanos());
        });
    }

    void stop(PlannedFault fault) {
        processes(fault).forEach(process -> {
            downtimes.markDown(process.name(), recorder.nowNanos());
            recorder.record(new HistoryEvent.StopBegan(process.name(), recorder.nowNanos()));
            process.terminate();
        });
    }

    void restartAfterExit(PlannedFault fault) {
        processes(fault).forEach(process -> {
            if (process.awaitExit(STOP_TIMEOUT)) {
                recorder.record(new HistoryEvent.StopEnded(process.name(), recorder.nowNanos()));
            } else {
                LogLine.of("stop-overdue").with("process", process.name()).warn();
                process.kill();
            }
            start(process);
        });
    }

    private void start(ProcessNode process) {
        if (process.startUnlessRunning()) {
            CompletableFuture.runAsync(() -> awaitLive(process));
        }
    }

    /** Ends the downtime of a started process once its liveness probe succeeds, or when the wait times out. */
    private void awaitLive(ProcessNode process) {
        try {
            HealthProbe.of(site.client()).awaitLive(addresses.get(process.name()), START_TIMEOUT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            downtimes.markUp(process.name(), recorder.nowNanos());
        }
    }

    private Stream<ProcessNode> processes(PlannedFault fault) {
        return fault.subjects().stream().map(processes::get);
    }

    // -- targets

    void withdrawTarget(PlannedFault fault) {
        TargetNode target = target(fault);
        target.leave().toCompletableFuture().join();
        recorder.record(new HistoryEvent.TargetLeft(target.name(), recorder.nowNanos()));
    }

    void replaceTarget(PlannedFault fault) {
        TargetNode target = target(fault);
        recorder.record(new HistoryEvent.TargetJoined(target.name(), recorder.nowNanos()));
        target.replace();
    }

    void slowTarget(PlannedFault fault) {
        target(fault).behaveAs(NORMAL_BEHAVIOUR.slowedBy(SLOW_FACTOR));
    }

    void failTarget(PlannedFault fault) {
        target(fault).behaveAs(NORMAL_BEHAVIOUR.failingImmediately(true));
    }

    void restoreTarget(PlannedFault fault) {
        target(fault).behaveAs(NORMAL_BEHAVIOUR);
    }

    private TargetNode target(PlannedFault fault) {
        return targets.get(fault.subjects().get(0));
    }

    // -- connections

    void blackholeTarget(PlannedFault fault) {
        target(fault).link().relay().ifPresent(relay -> relay.blackhole(directions(fault)));
    }

    void blackholeCallers(PlannedFault fault) {
        entry(fault.subjects().get(0)).callers().relay().ifPresent(relay -> relay.blackhole(directions(fault)));
    }

    void blackholeLink(PlannedFault fault) {
        ends(fault)
                .server()
                .relay()
                .ifPresent(relay -> cuts.blackhole(relay, ends(fault).client(), directions(fault)));
    }

    void cutLink(PlannedFault fault) {
        ends(fault)
                .server()
                .relay()
                .ifPresent(relay -> cuts.cut(relay, ends(fault).client()));
    }

    void healLink(PlannedFault fault) {
        ends(fault)
                .server()
                .relay()
                .ifPresent(relay -> cuts.heal(relay, ends(fault).client()));
    }

    void cutTable(PlannedFault fault) {
        ProcessNode entry = processes.get(fault.subjects().get(0));
        site.tableLink().relay().ifPresent(relay -> cuts.cut(relay, entry));
    }

    void healTable(PlannedFault fault) {
        ProcessNode entry = processes.get(fault.subjects().get(0));
        site.tableLink().relay().ifPresent(relay -> cuts.heal(relay, entry));
    }

    void isolate(PlannedFault fault) {
        cutTable(fault);
        peerEnds(fault).forEach(ends -> ends.server().relay().ifPresent(relay -> cuts.cut(relay, ends.client())));
    }

    void rejoin(PlannedFault fault) {
        healTable(fault);
        peerEnds(fault).forEach(ends -> ends.server().relay().ifPresent(relay -> cuts.heal(relay, ends.client())));
    }

    void noAction(PlannedFault fault) {
        // Connections that stopped forwarding are not restored; both ends replace them.
    }

    private List<LinkEnds> peerEnds(PlannedFault fault) {
        EntryNode isolated = entry(fault.subjects().get(0));
        return site.entries().stream()
                .filter(peer -> peer != isolated)
                .flatMap(peer -> Stream.of(
                        new LinkEnds(isolated.process(), peer.grpc()), new LinkEnds(peer.process(), isolated.grpc())))
                .toList();
    }

    private LinkEnds ends(PlannedFault fault) {
        String[] names = fault.subjects().get(0).split(">");
        return new LinkEnds(processes.get(names[0]), entry(names[1]).grpc());
    }

    private EntryNode entry(String name) {
        return site.entries().stream()
                .filter(entry -> entry.process().name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private static Set<RelayDirection> directions(PlannedFault fault) {
        return switch (fault.variant()) {
            case 0 -> EnumSet.of(RelayDirection.TO_SERVER);
            case 1 -> EnumSet.of(RelayDirection.TO_CLIENT);
            default -> EnumSet.allOf(RelayDirection.class);
        };
    }

    private record LinkEnds(ProcessNode client, Link server) {}

    // -- table service

    void table(TableFaults faults) {
        site.table().setFaults(faults);
    }
}
