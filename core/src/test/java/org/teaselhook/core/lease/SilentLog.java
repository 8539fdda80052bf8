package org.teaselhook.core.lease;

/**
 * Drops every line.
 */
final class SilentLog implements LeaseLog {

    @Override
    public void lateReport(WorkerReport report) {
        // Dropped.
    }

    @Override
    public void workerChanged(WorkerReport report) {
        // Dropped.
    }

    @Override
    public void workerLeft(String workerId) {
        // Dropped.
    }

    @Override
    public void workerBegan(WorkerReport report, int lostRuns) {
        // Dropped.
    }

    @Override
    public void startAnswered(OrderId order, RunId run, StartResult result) {
        // Dropped.
    }

    @Override
    public void fenced(long newToken) {
        // Dropped.
    }

    @Override
    public void openChanged(boolean open, int strays) {
        // Dropped.
    }

    @Override
    public void stray(RunId run) {
        // Dropped.
    }

    @Override
    public void missed(LookResult result) {
        // Dropped.
    }
}
