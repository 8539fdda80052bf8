package org.teaselhook.node.agent;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.admission.Admission;
import org.teaselhook.core.admission.Settlement;
import org.teaselhook.core.admission.StartConditions;
import org.teaselhook.core.admission.StartRequest;
import org.teaselhook.core.admission.Verdict;
import org.teaselhook.core.dispatch.RefusalReason;
import org.teaselhook.core.grant.GrantSharing;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.net.http.HttpResult;
import org.teaselhook.wire.AgentFrame;
import org.teaselhook.wire.AgentHeartbeat;
import org.teaselhook.wire.ConfigDocument;
import org.teaselhook.wire.Dispatch;
import org.teaselhook.wire.EntryFrame;
import org.teaselhook.wire.EntryHeartbeat;
import org.teaselhook.wire.EntryHello;
import org.teaselhook.wire.TargetOffer;
import org.teaselhook.wire.TaskResult;

/**
 * The agent's state: decides on dispatches, shares the slots, keeps results. Confined to the control thread.
 */
final class AgentControl {

    static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final AgentIdentity agent;
    private final TaskRunner runner;
    private final AgentEvents events;
    private final AgentMetrics metrics;
    private final Admission admission;
    private final GrantSharing sharing;
    private final HeldDispatches held;
    private final GrantSender grants;
    private final TargetTable targets = new TargetTable();
    private final Map<Incarnation, EntryState> entries = new HashMap<>();
    private final Map<EntryStream, Incarnation> streams = new HashMap<>();
    private Configuration configuration = Configuration.unknown();
    private boolean leaving;

    AgentControl(AgentIdentity agent, TaskRunner runner, AgentEvents events, AgentMetrics metrics) {
        this.agent = agent;
        this.runner = runner;
        this.events = events;
        this.metrics = metrics;
        this.admission = Admission.of(agent.incarnation());
        this.sharing = GrantSharing.of(agent.slots());
        this.held = new HeldDispatches(sharing);
        this.grants = new GrantSender(sharing, held, entries);
    }

    // -- accessors

    AgentFrame hello(long connection, long nowNanos) {
        return AgentFrames.hello(agent, connection, heartbeat(nowNanos));
    }

    AgentHeartbeat heartbeat(long nowNanos) {
        AgentHeartbeat.Builder state = AgentHeartbeat.newBuilder()
                .setAgentNanos(nowNanos)
                .setConfigVersion(configuration.version())
                .setLeaving(leaving)
                .setFreeSlots(agent.slots() - sharing.running())
                .setOpenSlots(sharing.openSlots());
        for (Target target : targets.all()) {
            state.addTargets(TargetOffer.newBuilder()
                    .setTarget(target.name())
                    .setService(target.service())
                    .setLeaving(!target.isAvailable()));
        }
        return state.build();
    }

    AgentStatus status() {
        return new AgentStatus(
                configuration.version(),
                configuration.rules().isOut(agent.zone()),
                leaving,
                streams.size(),
                targets.anyAvailable(),
                sharing.running(),
                sharing.granted(),
                admission.startedCount());
    }

    // -- connections

    /** Takes the entry's greeting, and returns the older stream to the same run of the entry, which lapses. */
    Optional<EntryStream> connected(EntryStream stream, EntryHello hello, AgentTime time) {
        Incarnation id = Incarnation.of(hello.getIncarnation());
        EntryState entry = entries.computeIfAbsent(id, ignored -> new EntryState(hello.getName()));
        Optional<EntryStream> older = entry.stream().filter(s -> s != stream);
        older.ifPresent(streams::remove);
        entry.connect(stream);
        streams.put(stream, id);
        held.forget(id);
        sharing.connect(id);
        AgentLog.entryConnected(hello, id, entry.kept().size());
        entry.kept().forEach(result -> entry.send(AgentFrames.result(result, SlotNews.NONE)));
        hello.getInProgressList().forEach(dispatch -> settle(id, entry, dispatch));
        heard(id, hello.getState(), time);
        return older;
    }

    /** Notes that a stream is gone, and returns false if the entry had never greeted on it. */
    boolean disconnected(EntryStream stream, long nowNanos) {
        Incarnation id = streams.remove(stream);
        if (id == null) {
            return false;
        }
        entries.get(id).disconnect(nowNanos);
        held.forget(id);
        sharing.disconnect(id);
        shareSlots(nowNanos);
        return true;
    }

    /** Notes whether the connection to an entry is to end once it is quiet. */
    void parting(EntryStream stream, boolean parts) {
        entries.get(streams.get(stream)).parting(parts);
    }

    /** Whether nothing of the entry on a stream is under way here. */
    boolean isQuiet(EntryStream stream) {
        Incarnation id = streams.get(stream);
        return entries.get(id).isQuiet() && !held.holds(id);
    }

    private void settle(Incarnation id, EntryState entry, long dispatch) {
        Settlement settlement = admission.settle(id, dispatch);
        if (settlement == Settlement.NOT_STARTED) {
            refused(id, dispatch, RefusalReason.NEVER_ARRIVED);
            entry.send(AgentFrames.refusal(dispatch, RefusalReason.NEVER_ARRIVED, SlotNews.NONE));
        } else if (settlement == Settlement.FORGOTTEN) {
            entry.send(AgentFrames.result(AgentFrames.unknown(dispatch), SlotNews.NONE));
        }
    }

    // -- frames

    void received(EntryStream stream, EntryFrame frame, AgentTime time) {
        Incarnation id = streams.get(stream);
        if (id == null) {
            return;
        }
        switch (frame.getFrameCase()) {
            case DISPATCH -> dispatched(id, frame.getDispatch(), time);
            case ACK -> frame.getAck().getDispatchList().forEach(dispatch -> acknowledged(id, dispatch));
            case HEARTBEAT -> heard(id, frame.getHeartbeat(), time);
            case CONFIG -> configured(frame.getConfig(), time.nanos());
            case CONFIG_REQUEST -> entries.get(id).send(AgentFrames.config(configuration.document()));
            case CANCEL -> cancelled(id, frame.getCancel().getDispatch());
            case GRANT_RETURN -> {
                sharing.giveBack(id, frame.getGrantReturn().getSlots());
                shareSlots(time.nanos());
            }
            default -> AgentLog.frameIgnored(id, frame.getFrameCase());
        }
    }

    private void heard(Incarnation id, EntryHeartbeat heartbeat, AgentTime time) {
        sharing.want(id, heartbeat.getWantedSlots());
        if (heartbeat.getLeaving()) {
            sharing.decline(id);
        }
        shareSlots(time.nanos());
    }

    private void acknowledged(Incarnation id, long dispatch) {
        admission.acknowledge(id, dispatch);
        entries.get(id).acknowledge(dispatch);
    }

    private void configured(ConfigDocument document, long nowNanos) {
        Optional<Configuration> newer = configuration.newer(document);
        if (newer.isEmpty()) {
            return;
        }
        configuration = newer.get();
        AgentLog.configuration(configuration.version(), configuration.rules().isOut(agent.zone()));
        announceState(nowNanos);
    }

    private void cancelled(Incarnation id, long dispatch) {
        if (admission.cancel(id, dispatch)) {
            held.remove(id, dispatch);
            refused(id, dispatch, RefusalReason.CANCELLED);
            entries.get(id).send(AgentFrames.refusal(dispatch, RefusalReason.CANCELLED, SlotNews.NONE));
        }
    }

    // -- tasks

    private void dispatched(Incarnation id, Dispatch task, AgentTime time) {
        boolean waits = !task.getGranted() && sharing.free() == 0 && canStart() && sharing.canHold(id);
        if (waits) {
            held.hold(id, task, time);
            events.wakeAfter(HeldDispatches.HOLD_NANOS);
            shareSlots(time.nanos());
        } else {
            decide(id, task, task.getGranted(), time);
        }
    }

    /** Decides on a dispatch at the instant of start; false if it was decided on before. */
    private boolean decide(Incarnation id, Dispatch task, boolean granted, AgentTime time) {
        Optional<Target> target = targets.choose(task.getService());
        StartRequest request = new StartRequest(
                id,
                task.getDispatch(),
                new Incarnation(task.getAgentIncarnation()),
                task.getEchoAgentNanos(),
                task.getStartByAgentNanos(),
                task.getConfigVersion());
        StartConditions conditions = new StartConditions(
                configuration.version(),
                configuration.rules().isOut(agent.zone()),
                leaving,
                target.isPresent(),
                sharing.available(id, granted));
        Verdict verdict = admission.decide(request, conditions, time.nanos());
        if (verdict instanceof Verdict.Start start) {
            sharing.start(id, granted);
            start(id, task, target.orElseThrow(), start.startByNanos(), time);
        } else if (verdict instanceof Verdict.Refuse refuse) {
            refuse(id, task, granted, refuse.reason(), time.nanos());
        } else {
            AgentLog.duplicate(id, task.getDispatch());
            return false;
        }
        return true;
    }

    private void start(Incarnation id, Dispatch task, Target target, long startByNanos, AgentTime time) {
        entries.get(id).begin();
        target.begin();
        metrics.started();
        AgentLog.start(id, task, target, sharing.running());
        long timeoutMillis = Math.max(1, (task.getFinishByAgentNanos() - time.nanos()) / 1_000_000L);
        RunningTask running = new RunningTask(id, task, target, time.nanos());
        runner.run(target.address(), id, task, time.wallMillisOf(startByNanos), timeoutMillis)
                .thenAccept(result -> events.finished(running, result));
    }

    private void refuse(Incarnation id, Dispatch task, boolean granted, RefusalReason reason, long nowNanos) {
        if (granted) {
            sharing.refuse(id);
        }
        refused(id, task.getDispatch(), reason);
        entries.get(id).send(AgentFrames.refusal(task.getDispatch(), reason, shareSlots(nowNanos, id)));
    }

    private void refused(Incarnation id, long dispatch, RefusalReason reason) {
        metrics.refused(reason);
        AgentLog.refusal(id, dispatch, reason);
    }

    /** Takes the end of a task. */
    void finished(RunningTask running, HttpResult result, long nowNanos) {
        running.target().end();
        sharing.finish(running.entry());
        entries.get(running.entry()).end();
        Optional<RefusalReason> notStarted = running.notStarted(result);
        if (notStarted.isPresent()) {
            withdraw(running, notStarted.get(), nowNanos);
        } else {
            complete(running, running.result(result, nowNanos), nowNanos);
        }
    }

    private void withdraw(RunningTask running, RefusalReason reason, long nowNanos) {
        admission.withdraw(running.entry(), running.dispatch());
        refused(running.entry(), running.dispatch(), reason);
        if (reason == RefusalReason.CONNECT_FAILED) {
            running.target().suspect();
            announceState(nowNanos);
        }
        SlotNews slots = shareSlots(nowNanos, running.entry());
        entries.get(running.entry()).send(AgentFrames.refusal(running.dispatch(), reason, slots));
    }

    private void complete(RunningTask running, TaskResult result, long nowNanos) {
        EntryState entry = entries.get(running.entry());
        metrics.finished(result.getStatus());
        AgentLog.result(running.entry(), result);
        entry.keep(result);
        entry.send(AgentFrames.result(result, shareSlots(nowNanos, running.entry())));
    }

    // -- targets

    void announce(String name, String service, InetSocketAddress address, long nowNanos) {
        if (targets.announce(name, service, address, nowNanos)) {
            AgentLog.targetAvailable(name, service);
            announceState(nowNanos);
        }
    }

    boolean withdraw(String name, long nowNanos) {
        boolean known = targets.withdraw(name);
        if (known) {
            AgentLog.targetLeaving(name);
            announceState(nowNanos);
        }
        return known;
    }

    // -- time and stopping

    void tick(long nowNanos) {
        if (targets.lapse(nowNanos)) {
            AgentLog.targetLapsed();
            announceState(nowNanos);
        }
        entries.forEach((id, entry) -> retireIfAbandoned(id, entry, nowNanos));
        entries.values().removeIf(entry -> entry.isAbandoned(nowNanos, KEEP_NANOS));
        sharing.rebalance(nowNanos);
        shareSlots(nowNanos);
    }

    private void retireIfAbandoned(Incarnation id, EntryState entry, long nowNanos) {
        if (entry.isAbandoned(nowNanos, KEEP_NANOS)) {
            admission.retire(id);
            AgentLog.entryForgotten(entry.name(), id);
        }
    }

    void leave(long nowNanos) {
        leaving = true;
        AgentLog.leaving(sharing.running());
        announceState(nowNanos);
    }

    /** Whether no task runs, and every connected entry has acknowledged every result. */
    boolean isDrained() {
        return sharing.running() == 0
                && entries.values().stream().allMatch(entry -> entry.kept().isEmpty());
    }

    boolean isIdle() {
        return sharing.running() == 0;
    }

    // -- slots

    private void announceState(long nowNanos) {
        AgentHeartbeat state = heartbeat(nowNanos);
        entries.values().forEach(entry -> entry.send(AgentFrames.heartbeat(state, entry.isParting())));
        shareSlots(nowNanos);
    }

    private void shareSlots(long nowNanos) {
        do {
            grants.share(canStart(), nowNanos);
        } while (decideOnAdmitted(nowNanos));
        decideOnHopeless(nowNanos);
    }

    private SlotNews shareSlots(long nowNanos, Incarnation along) {
        int granted = 0;
        do {
            granted += grants.shareAlong(along, canStart(), nowNanos);
        } while (decideOnAdmitted(nowNanos));
        decideOnHopeless(nowNanos);
        return new SlotNews(granted, sharing.openSlots());
    }

    /** Decides on held dispatches for which a slot was set aside, and returns whether there were any. */
    private boolean decideOnAdmitted(long nowNanos) {
        boolean any = false;
        for (HeldDispatch next : held.takeAdmitted()) {
            any = true;
            if (!decide(next.entry(), next.task(), true, next.arrival().at(nowNanos))) {
                sharing.refuse(next.entry());
            }
        }
        return any;
    }

    private void decideOnHopeless(long nowNanos) {
        for (HeldDispatch next : held.takeHopeless(canStart(), nowNanos)) {
            decide(next.entry(), next.task(), false, next.arrival().at(nowNanos));
        }
    }

    /** Decides on dispatches that have waited long enough for a slot. */
    void expireHeld(long nowNanos) {
        shareSlots(nowNanos);
    }

    private boolean canStart() {
        boolean zoneOut = configuration.rules().isOut(agent.zone());
        return configuration.isKnown() && !zoneOut && !leaving && targets.anyAvailable();
    }
}
