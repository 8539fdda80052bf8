package org.teaselhook.bench.load;

import java.lang.management.ManagementFactory;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** The line that reports one case under one policy. */
final class LoadReport {

    private static final double SLOTS = 88;
    private static final double SLOTS_WITHOUT_ZONE = 56;
    private static final double WARM_UP = 0.15;
    private static final double SETTLE_SECONDS = 2;

    private final LoadRecord record;
    private final EntryCounts counts;
    private final StartCounter starts;
    private final double seconds;
    private final Map<String, String> fields = new LinkedHashMap<>();

    LoadReport(
            LoadCase load,
            String policy,
            long seed,
            int seconds,
            LoadRecord record,
            EntryCounts counts,
            StartCounter starts) {
        this.record = record;
        this.counts = counts;
        this.starts = starts;
        this.seconds = seconds;
        fields.put("case", load.label());
        fields.put("policy", policy);
        fields.put("seed", Long.toString(seed));
        fields.put("seconds", Integer.toString(seconds));
        outcomes();
        waste();
        goodput(load);
        put("machine_load", ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    }

    String line() {
        return fields.entrySet().stream()
                .map(field -> field.getKey() + "=" + field.getValue())
                .collect(Collectors.joining(" "));
    }

    // -- fields

    private void outcomes() {
        put("submissions", record.submissions());
        put("complete", record.count(CallerOutcome.COMPLETE));
        put("not_run", record.count(CallerOutcome.NOT_RUN));
        put("may_have_run", record.count(CallerOutcome.MAY_HAVE_RUN));
        put("unanswered", record.count(CallerOutcome.UNANSWERED));
        put("resent", record.resends());
        fields.put("p50", record.ratio(50));
        fields.put("p99", record.ratio(99));
    }

    /** Wasted messages per started task, by cause. */
    private void waste() {
        double rejections = counts.refusals("NO_FREE_SLOT");
        double hedges = counts.of("hedges");
        double cancelled = Math.max(0, counts.of("cancels") - hedges);
        double refused = counts.refusals() - rejections;
        double wasted = rejections + refused + counts.of("unknown_results") + hedges + counts.of("retries") + cancelled;
        put("tasks", starts.starts());
        perTask("wasted", wasted);
        perTask("rejected", rejections);
        perTask("refused", refused);
        perTask("duplicate", counts.of("unknown_results"));
        perTask("hedge", hedges);
        perTask("retry", counts.of("retries"));
        perTask("cancelled", cancelled);
        perTask("repeated", starts.repeated());
    }

    private void goodput(LoadCase load) {
        put("goodput", record.goodput(WARM_UP, 1, SLOTS));
        switch (load) {
            case OVERLOAD2X -> overload();
            case ZONE -> zone();
            case BLACKHOLE, STRAGGLER ->
                put("failed_after_2s", record.failedShare(0.25 * seconds + SETTLE_SECONDS, 0.75 * seconds));
            case OUTAGE -> put("failed_in_outage", record.failedShare(seconds / 3, seconds * 2 / 3));
            default -> put("failed", record.failedShare(0, seconds));
        }
    }

    private void overload() {
        double saturated = record.goodput(WARM_UP, 0.5, SLOTS);
        double overloaded = record.goodput(0.5, 1, SLOTS);
        put("goodput_1x", saturated);
        put("goodput_2x", overloaded);
        put("goodput_2x_over_1x", overloaded / saturated);
    }

    private void zone() {
        double settle = SETTLE_SECONDS / seconds;
        double steady = record.goodput(WARM_UP, 1.0 / 3, SLOTS);
        put("throughput_steady", steady);
        put("throughput_leaving_over_remaining", record.goodput(1.0 / 3, 1.0 / 3 + 2 * settle, SLOTS_WITHOUT_ZONE));
        put("throughput_out_over_remaining", record.goodput(1.0 / 3 + settle, 2.0 / 3, SLOTS_WITHOUT_ZONE));
        put("throughput_returning_over_steady", record.goodput(2.0 / 3, 2.0 / 3 + 2 * settle, SLOTS) / steady);
        put("throughput_returned_over_steady", record.goodput(2.0 / 3 + settle, 1, SLOTS) / steady);
    }

    private void put(String name, long value) {
        fields.put(name, Long.toString(value));
    }

    private void put(String name, double value) {
        fields.put(name, String.format(Locale.ROOT, "%.4f", value));
    }

    private void perTask(String name, double count) {
        put(name, count / Math.max(1, starts.starts()));
    }
}
