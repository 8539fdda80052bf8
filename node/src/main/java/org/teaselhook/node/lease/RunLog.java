package org.teaselhook.node.lease;

import java.util.concurrent.TimeUnit;

import org.teaselhook.core.lease.LeaseLog;
import org.teaselhook.core.lease.OrderId;
import org.teaselhook.core.lease.PollResult;
import org.teaselhook.core.lease.RunId;
import org.teaselhook.core.lease.StartResult;
import org.teaselhook.core.lease.WorkerReport;
import org.teaselhook.net.log.LogLine;

/**
 * Writes the events of the agent's worker to the log.
 */
final class RunLog implements LeaseLog {

    @Override
    public void lateReport(WorkerReport report) {
        logLine("worker-report-late", report).info();
    }

    @Override
    public void otherIncarnationReported(WorkerReport report) {
        logLine("worker-report-unconfirmed", report)
                .with("service", report.service())
                .with("address", report.address())
                .warn();
    }

    @Override
    public void workerChanged(WorkerReport report) {
        logLine("worker-changed", report).with("draining", report.draining()).info();
    }

    @Override
    public void workerLeft(String workerId) {
        LogLine.of("worker-left").with("worker", workerId).info();
    }

    @Override
    public void workerStarted(WorkerReport report, int lostRuns) {
        logLine("worker-began", report)
                .with("service", report.service())
                .with("cpu", report.capacity().cpuMillis())
                .with("lost_runs", lostRuns)
                .info();
    }

    @Override
    public void startAnswered(OrderId order, RunId run, StartResult result) {
        LogLine line = LogLine.of("start-answered")
                .with("task", run.task())
                .with("run", run.number())
                .with("entry", order.entry())
                .with("order", order.number())
                .with("result", result);
        if (result == StartResult.STARTED) {
            line.info();
        } else {
            line.warn();
        }
    }

    @Override
    public void fenced(long newToken) {
        LogLine.of("worker-fenced").with("new_token", newToken).warn();
    }

    @Override
    public void availabilityChanged(boolean available, int orphans) {
        LogLine.of(available ? "worker-open" : "worker-closed")
                .with("strays", orphans)
                .info();
    }

    @Override
    public void orphanFound(RunId run, long token) {
        LogLine.of("stray-run")
                .with("task", run.task())
                .with("run", run.number())
                .with("token", token)
                .warn();
    }

    @Override
    public void stopOverdue(OrderId order, RunId run, long nanosSinceWithdrawal) {
        LogLine.of("run-not-stopped")
                .with("task", run.task())
                .with("run", run.number())
                .with("entry", order.entry())
                .with("order", order.number())
                .with("withdrawn_ms", TimeUnit.NANOSECONDS.toMillis(nanosSinceWithdrawal))
                .warn();
    }

    @Override
    public void workerUnresponsive(PollResult result) {
        LogLine.of("worker-silent").with("result", result).warn();
    }

    private static LogLine logLine(String event, WorkerReport report) {
        return LogLine.of(event)
                .with("worker", report.id())
                .with("born", report.startedAtMillis())
                .with("sequence", report.sequence());
    }
}
