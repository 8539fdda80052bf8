package org.teaselhook.node.lease;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.lease.RunForecast;
import org.teaselhook.core.lease.RunOutcome;
import org.teaselhook.core.lease.RunRefusal;
import org.teaselhook.wire.RouteDocument;
import org.teaselhook.wire.RoutesWanted;
import org.teaselhook.wire.RunEnd;
import org.teaselhook.wire.RunHello;
import org.teaselhook.wire.RunProgress;
import org.teaselhook.wire.RunRefusalReason;
import org.teaselhook.wire.RunReport;
import org.teaselhook.wire.WorkerState;

/**
 * The frames that an agent sends.
 */
final class LeaseFrames {

    private LeaseFrames() {}

    static RunReport hello(String name, Incarnation agent, String zone) {
        return RunReport.newBuilder()
                .setHello(RunHello.newBuilder()
                        .setName(name)
                        .setIncarnation(agent.value())
                        .setZone(zone))
                .build();
    }

    static RunReport state(WorkerState.Builder state) {
        return RunReport.newBuilder().setState(state).build();
    }

    static RunProgress progress(long order, RunForecast forecast) {
        return RunProgress.newBuilder()
                .setOrder(order)
                .setTotalMillis(forecast.totalMillis())
                .setElapsedMillis(forecast.elapsedMillis())
                .build();
    }

    static RunReport end(long order, RunOutcome outcome, long runMillis) {
        return RunReport.newBuilder()
                .setEnd(RunEnd.newBuilder()
                        .setOrder(order)
                        .setOutcome(outcome(outcome))
                        .setRunMillis(runMillis))
                .build();
    }

    static RunReport refusal(long order, RunRefusal refusal) {
        return RunReport.newBuilder()
                .setRefusal(org.teaselhook.wire.RunRefusal.newBuilder()
                        .setOrder(order)
                        .setReason(reason(refusal)))
                .build();
    }

    static RunReport routes(RouteDocument document) {
        return RunReport.newBuilder().setRoutes(document).build();
    }

    static RunReport routeRequest(long heldVersion) {
        return RunReport.newBuilder()
                .setRoutesWanted(RoutesWanted.newBuilder().setHeldVersion(heldVersion))
                .build();
    }

    private static org.teaselhook.wire.RunOutcome outcome(RunOutcome outcome) {
        return switch (outcome) {
            case DONE -> org.teaselhook.wire.RunOutcome.RUN_DONE;
            case FAILED -> org.teaselhook.wire.RunOutcome.RUN_FAILED;
            case STOPPED -> org.teaselhook.wire.RunOutcome.RUN_STOPPED;
            case LOST -> org.teaselhook.wire.RunOutcome.RUN_LOST;
        };
    }

    private static RunRefusalReason reason(RunRefusal refusal) {
        return switch (refusal) {
            case NO_ROOM -> RunRefusalReason.RUN_NO_ROOM;
            case NEVER_ARRIVED -> RunRefusalReason.RUN_NEVER_ARRIVED;
            case STALE_ENTRY -> RunRefusalReason.RUN_STALE_ENTRY;
            case START_BY_PASSED -> RunRefusalReason.RUN_START_BY_PASSED;
            case ZONE_OUT -> RunRefusalReason.RUN_ZONE_OUT;
            case NO_WORKER -> RunRefusalReason.RUN_NO_WORKER;
            case WORKER_REFUSED -> RunRefusalReason.RUN_WORKER_REFUSED;
            case UNANSWERED -> RunRefusalReason.RUN_UNANSWERED;
            case CANCELLED -> RunRefusalReason.RUN_CANCELLED;
        };
    }
}
