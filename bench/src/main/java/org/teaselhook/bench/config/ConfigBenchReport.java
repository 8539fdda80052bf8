package org.teaselhook.bench.config;

import java.io.PrintWriter;
import java.util.List;
import java.util.stream.LongStream;

import org.HdrHistogram.Histogram;
import org.teaselhook.bench.process.ProcessNode;
import org.teaselhook.bench.process.Site;

/**
 * The results of one run. Times are milliseconds since the operator sent the change.
 */
final class ConfigBenchReport {

    private static final long MAX_MILLIS = 600_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final int processes;
    private final int changes;
    private final Histogram answered = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
    private final Histogram inForce = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
    private final Histogram confirmed = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
    private final Traffic idle;
    private final Traffic perChange;

    private ConfigBenchReport(int processes, int changes, Traffic idle, Traffic busy) {
        this.processes = processes;
        this.changes = changes;
        this.idle = idle;
        this.perChange = busy.since(idle.scaledBy(busy.nanos() / idle.nanos())).scaledBy(1.0 / changes);
    }

    static ConfigBenchReport of(Site site, List<MeasuredChange> changes, Traffic idle, Traffic busy) {
        List<AppliedTimes> applied =
                site.processes().map(ProcessNode::log).map(AppliedTimes::read).toList();
        ConfigBenchReport report = new ConfigBenchReport(applied.size(), changes.size(), idle, busy);
        changes.forEach(change -> report.add(change, applied));
        return report;
    }

    private void add(MeasuredChange change, List<AppliedTimes> applied) {
        LongStream appliedMillis = applied.stream().mapToLong(process -> process.atLeast(change.version())
                .orElseThrow(
                        () -> new IllegalStateException("a process log does not contain version " + change.version())));
        answered.recordValue(change.answeredMillis() - change.sentMillis());
        inForce.recordValue(Math.max(0, appliedMillis.max().orElseThrow() - change.sentMillis()));
        confirmed.recordValue(change.confirmedMillis() - change.sentMillis());
    }

    void print(PrintWriter out) {
        out.printf("processes=%d changes=%d%n", processes, changes);
        print(out, "answered-to-operator", answered);
        print(out, "applied-by-every-process", inForce);
        print(out, "confirmed-in-status", confirmed);
        double idleSeconds = idle.nanos() / NANOS_PER_SECOND;
        out.printf(
                "idle-per-second table-reads=%.2f table-writes=%.2f table-bytes=%.0f session-bytes=%.0f%n",
                idle.tableReads() / idleSeconds,
                idle.tableWrites() / idleSeconds,
                idle.tableBytes() / idleSeconds,
                idle.sessionBytes() / idleSeconds);
        out.printf(
                "per-change-beyond-idle table-reads=%.2f table-writes=%.2f table-bytes=%.0f session-bytes=%.0f%n",
                perChange.tableReads(), perChange.tableWrites(), perChange.tableBytes(), perChange.sessionBytes());
        out.flush();
    }

    private static void print(PrintWriter out, String name, Histogram millis) {
        out.printf(
                "%s p50=%dms p99=%dms worst=%dms%n",
                name, millis.getValueAtPercentile(50), millis.getValueAtPercentile(99), millis.getMaxValue());
    }
}
