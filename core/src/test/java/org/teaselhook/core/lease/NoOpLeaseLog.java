package org.teaselhook.core.lease;

/**
 * A log that ignores all events.
 */
final class NoOpLeaseLog implements LeaseLog {

    @Override
    public void lateReport(WorkerReport report) {
        // Ignored.
    }

    @Override
    public void otherIncarnationReported(WorkerReport report) {
        // Ignored.
    }

    @Override
    public void workerChanged(WorkerReport report) {
        // Ignored.
    }

    @Override
    public void workerLeft(String workerId) {
        // Ignored.
    }

    @Override
    public void workerStarted(WorkerReport report, int lostRuns) {
        // Ignored.
    }

    @Override
    public void startAnswered(OrderId order, RunId run, StartResult result) {
        // Ignored.
    }

    @Override
    public void fenced(long newToken) {
        // Ignored.
    }

    @Override
    public void availabilityChanged(boolean available, int orphans) {
        // Ignored.
    }

    @Override
    public void orphanFound(RunId run, long token) {
        // Ignored.
    }

    @Override
    public void stopOverdue(OrderId order, RunId run, long nanosSinceWithdrawal) {
        // Ignored.
    }

    @Override
    public void workerUnresponsive(PollResult result) {
        // Ignored.
    }
}
