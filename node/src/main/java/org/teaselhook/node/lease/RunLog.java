package org.teaselhook.node.lease;

import org.teaselhook.core.lease.LeaseLog;
import org.teaselhook.core.lease.OrderId;
import org.teaselhook.core.lease.PollResult;
import org.teaselhook.core.lease.RunId;
import org.teaselhook.core.lease.StartResult;
import org.teaselhook.core.lease.WorkerReport;
import org.teaselhook.net.log.LogLine;

/**
 * Log lines of what the agent believes of its worker.
 */
final class RunLog implements LeaseLog {

    @Override
    public void lateReport(WorkerReport report) {
        line("worker-report-late", report).info();
    }

    @Override
    public void workerChanged(WorkerReport report) {
        line("worker-changed", report).with("draining", report.draining()).info();
    }

    @Override
    public void workerLeft(String workerId) {
        LogLine.of("worker-left").with("worker", workerId).info();
    }

    @Override
    public void workerStarted(WorkerReport report, int lostRuns) {
        line("worker-began", report)
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
    public void availabilityChanged(boolean open, int strays) {
        LogLine.of(open ? "worker-open" : "worker-closed")
                .with("strays", strays)
                .info();
    }

    @Override
    public void orphanFound(RunId run) {
        LogLine.of("stray-run")
                .with("task", run.task())
                .with("run", run.number())
                .warn();
    }

    @Override
    public void workerUnresponsive(PollResult result) {
        LogLine.of("worker-silent").with("result", result).warn();
    }

    private static LogLine line(String event, WorkerReport report) {
        return LogLine.of(event)
                .with("worker", report.id())
                .with("born", report.startedAtMillis())
                .with("sequence", report.sequence());
    }
}
