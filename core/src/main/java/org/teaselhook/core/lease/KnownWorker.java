package org.teaselhook.core.lease;

import java.util.Optional;

/**
 * The known incarnation of the worker, and the latest report of another one. That report may be late or from another
 * writer, so it is kept aside until the known incarnation has ended, and dropped when that answers. Confined to the
 * control thread.
 */
final class KnownWorker {

    private Optional<WorkerReport> current = Optional.empty();
    private Optional<Successor> successor = Optional.empty();

    /** Whether the known incarnation, or an earlier one with its id, has announced its end. */
    private boolean leaving;

    private record Successor(WorkerReport report, long reportedAt) {}

    // -- accessors

    /** Returns the last report of the known incarnation, empty if none is known. */
    Optional<WorkerReport> current() {
        return current;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Returns the last report of another incarnation, empty if there is none to be considered. */
    Optional<WorkerReport> successor() {
        return successor.map(Successor::report);
    }

    /** Returns the report of a restarted worker: that of the successor if it matches, otherwise a presumed one. */
    WorkerReport restartedAt(long startedAtMillis) {
        WorkerReport presumed = current.orElseThrow().restartedAt(startedAtMillis);
        return successor().filter(presumed::isSameIncarnation).orElse(presumed);
    }

    // -- updates

    void begin(WorkerReport report) {
        current = Optional.of(report);
        successor = Optional.empty();
        leaving = false;
    }

    /** Removes the known incarnation, which has ended. */
    void end() {
        current = Optional.empty();
        leaving = false;
    }

    void update(WorkerReport report) {
        current = Optional.of(report);
    }

    void keepAside(long nowNanos, WorkerReport report) {
        successor = Optional.of(new Successor(report, nowNanos));
    }

    /** Records that the known incarnation answered a call: a report that came before the call did not replace it. */
    void answered(long calledAt) {
        successor = successor.filter(next -> next.reportedAt() - calledAt >= 0);
    }

    /** Records that a worker has announced its end. Returns whether it has the id of the known one. */
    boolean left(String workerId) {
        successor = successor.filter(next -> !next.report().id().equals(workerId));
        boolean isCurrent = current.filter(known -> known.id().equals(workerId)).isPresent();
        leaving = leaving || isCurrent;
        return isCurrent;
    }
}
