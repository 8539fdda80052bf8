package org.teaselhook.core.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The runs on the worker that this agent did not start. They are stopped, and the worker accepts no orders until they
 * have ended. Confined to the control thread.
 */
final class Orphans {

    private final FencedCalls calls;
    private final LeaseLog log;

    /** When the worker confirmed the stop of each orphan, empty if it has not. */
    private final Map<RunId, OptionalLong> stoppedAt = new HashMap<>();

    Orphans(FencedCalls calls, LeaseLog log) {
        this.calls = Objects.requireNonNull(calls, "calls is null");
        this.log = Objects.requireNonNull(log, "log is null");
    }

    // -- accessors

    boolean isEmpty() {
        return stoppedAt.isEmpty();
    }

    int size() {
        return stoppedAt.size();
    }

    // -- updates

    void clear() {
        stoppedAt.clear();
    }

    void ended(RunId run) {
        stoppedAt.remove(run);
    }

    /**
     * Reconciles the orphans with those in a list, and stops them. One that is missing may still be stopping: its end
     * is listed, unless the worker has forgotten it.
     */
    void reconcile(WorkerReport worker, long requestedAt, Set<RunId> listed) {
        stoppedAt.entrySet().removeIf(e -> !listed.contains(e.getKey()) && isForgotten(e.getValue(), requestedAt));
        listed.forEach(run -> {
            if (stoppedAt.putIfAbsent(run, OptionalLong.empty()) == null) {
                log.orphanFound(run, calls.token());
            }
        });
        List.copyOf(stoppedAt.entrySet()).forEach(orphan -> {
            boolean ineffective = listed.contains(orphan.getKey()) && isStopOver(orphan.getValue(), requestedAt);
            if (orphan.getValue().isEmpty() || ineffective) {
                stop(worker, orphan.getKey());
            }
        });
    }

    private static boolean isForgotten(OptionalLong confirmedAt, long requestedAt) {
        return confirmedAt.isPresent() && requestedAt - LeaseTimes.forgottenBy(confirmedAt.getAsLong()) >= 0;
    }

    private static boolean isStopOver(OptionalLong confirmedAt, long requestedAt) {
        return confirmedAt.isPresent() && requestedAt - LeaseTimes.endedBy(confirmedAt.getAsLong()) >= 0;
    }

    /** Stops an orphan. If the call has no effect, it is repeated after the next list. */
    private void stop(WorkerReport worker, RunId run) {
        calls.stop(worker, run, (now, result) -> {
            if (result == StopResult.STOPPED) {
                stoppedAt.replace(run, OptionalLong.of(now));
            }
        });
    }
}
