package org.teaselhook.node.job;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.job.PlacedRun;
import org.teaselhook.core.job.WorkerView;
import org.teaselhook.core.lease.RunForecast;
import org.teaselhook.core.lease.RunOutcome;
import org.teaselhook.core.lease.RunRefusal;
import org.teaselhook.core.route.Routes;
import org.teaselhook.node.route.AmountMessages;
import org.teaselhook.node.route.RouteMessages;
import org.teaselhook.wire.RoutesWanted;
import org.teaselhook.wire.RunCommand;
import org.teaselhook.wire.RunGreeting;
import org.teaselhook.wire.RunOrder;
import org.teaselhook.wire.RunProgress;
import org.teaselhook.wire.RunPulse;
import org.teaselhook.wire.RunRefusalReason;
import org.teaselhook.wire.RunStop;
import org.teaselhook.wire.WorkerState;

/**
 * Encodes the frames that an entry sends to agents, and decodes those that it receives.
 */
final class JobFrames {

    private static final double PERCENT = 100;

    private JobFrames() {}

    // -- sent

    static RunCommand greeting(String name, Incarnation entry, List<Long> inProgress) {
        return RunCommand.newBuilder()
                .setGreeting(RunGreeting.newBuilder()
                        .setName(name)
                        .setIncarnation(entry.value())
                        .addAllInProgress(inProgress))
                .build();
    }

    static RunCommand pulse(long echoNanos, Pulse pulse, List<String> entries) {
        return RunCommand.newBuilder()
                .setPulse(RunPulse.newBuilder()
                        .setEchoAgentNanos(echoNanos)
                        .setRoutesVersion(pulse.routesVersion())
                        .addAllZonesOut(pulse.zonesOut())
                        .addAllEntries(entries)
                        .setLeaving(pulse.leaving()))
                .build();
    }

    static RunCommand routes(Routes routes) {
        return RunCommand.newBuilder()
                .setRoutes(RouteMessages.toDocument(routes))
                .build();
    }

    static RunCommand routeRequest(long heldVersion) {
        return RunCommand.newBuilder()
                .setRoutesWanted(RoutesWanted.newBuilder().setHeldVersion(heldVersion))
                .build();
    }

    static RunCommand order(PlacedRun run, long echoNanos, long startByAgentNanos, boolean sameSpec) {
        return RunCommand.newBuilder()
                .setOrder(RunOrder.newBuilder()
                        .setOrder(run.number())
                        .setEchoAgentNanos(echoNanos)
                        .setStartByAgentNanos(startByAgentNanos)
                        .setTask(run.task())
                        .setRun(run.run())
                        .setService(run.service())
                        .setSpec(sameSpec ? "" : run.spec())
                        .setSameSpec(sameSpec)
                        .setAmounts(AmountMessages.toMessage(run.amounts()))
                        .setEstimateMillis(run.estimateMillis()))
                .build();
    }

    static RunCommand stop(long order) {
        return RunCommand.newBuilder()
                .setStop(RunStop.newBuilder().setOrder(order))
                .build();
    }

    // -- received

    static WorkerView view(WorkerState state) {
        return new WorkerView(
                state.getService(),
                AmountMessages.fromMessage(state.getCapacity()),
                AmountMessages.fromMessage(state.getUsed()),
                state.getLabelsList(),
                state.getSeenOrder(),
                state.getPacePercent() / PERCENT);
    }

    static Map<Long, RunForecast> forecasts(WorkerState state) {
        return state.getProgressList().stream()
                .collect(Collectors.toMap(
                        RunProgress::getOrder, p -> new RunForecast(p.getElapsedMillis(), p.getTotalMillis())));
    }

    static RunOutcome outcome(org.teaselhook.wire.RunOutcome outcome) {
        return switch (outcome) {
            case RUN_DONE -> RunOutcome.DONE;
            case RUN_FAILED -> RunOutcome.FAILED;
            case RUN_STOPPED -> RunOutcome.STOPPED;
            default -> RunOutcome.LOST;
        };
    }

    static RunRefusal refusal(RunRefusalReason reason) {
        return switch (reason) {
            case RUN_NO_ROOM -> RunRefusal.NO_ROOM;
            case RUN_NEVER_ARRIVED -> RunRefusal.NEVER_ARRIVED;
            case RUN_STALE_ENTRY -> RunRefusal.STALE_ENTRY;
            case RUN_START_BY_PASSED -> RunRefusal.START_BY_PASSED;
            case RUN_ZONE_OUT -> RunRefusal.ZONE_OUT;
            case RUN_NO_WORKER -> RunRefusal.NO_WORKER;
            case RUN_CANCELLED -> RunRefusal.CANCELLED;
            case RUN_UNANSWERED -> RunRefusal.UNANSWERED;
            default -> RunRefusal.WORKER_REFUSED;
        };
    }
}
