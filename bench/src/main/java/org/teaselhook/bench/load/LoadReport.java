package org.teaselhook.bench.load;

import java.lang.management.ManagementFactory;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** The results of one case under one policy, as a line of key=value pairs. */
final class LoadReport {

    private static final double ALL_SLOTS = 88;
    private static final double REMAINING_SLOTS = 56;
    private static final double WARM_UP_FRACTION = 0.15;
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
        addOutcomes();
        addWaste();
        addGoodput(load);
        put("machine_load", ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    }

    String line() {
        return fields.entrySet().stream()
                .map(field -> field.getKey() + "=" + field.getValue())
                .collect(Collectors.joining(" "));
    }

    // -- fields

    private void addOutcomes() {
        put("submissions", record.submissions());
        put("complete", record.count(CallerOutcome.COMPLETE));
        put("not_run", record.count(CallerOutcome.NOT_RUN));
        put("may_have_run", record.count(CallerOutcome.MAY_HAVE_RUN));
        put("unanswered", record.count(CallerOutcome.UNANSWERED));
        put("resent", record.resends());
        fields.put("p50", record.slowdown(50));
        fields.put("p99", record.slowdown(99));
    }

    /** Wasted messages per started task, by cause. */
    private void addWaste() {
        double rejections = counts.refusals("NO_FREE_SLOT");
        double hedges = counts.total("hedges");
        double cancelled = Math.max(0, counts.total("cancels") - hedges);
        double refused = counts.refusals() - rejections;
        double wasted =
                rejections + refused + counts.total("unknown_results") + hedges + counts.total("retries") + cancelled;
        put("tasks", starts.starts());
        putPerTask("wasted", wasted);
        putPerTask("rejected", rejections);
        putPerTask("refused", refused);
        putPerTask("duplicate", counts.total("unknown_results"));
        putPerTask("hedge", hedges);
        putPerTask("retry", counts.total("retries"));
        putPerTask("cancelled", cancelled);
        putPerTask("repeated", starts.repeatedStarts());
    }

    private void addGoodput(LoadCase load) {
        put("goodput", record.goodput(WARM_UP_FRACTION, 1, ALL_SLOTS));
        switch (load) {
            case OVERLOAD2X -> addOverload();
            case ZONE -> addZone();
            case BLACKHOLE, STRAGGLER ->
                put("failed_after_2s", record.failedShare(0.25 * seconds + SETTLE_SECONDS, 0.75 * seconds));
            case OUTAGE -> put("failed_in_outage", record.failedShare(seconds / 3, seconds * 2 / 3));
            default -> put("failed", record.failedShare(0, seconds));
        }
    }

    private void addOverload() {
        double saturated = record.goodput(WARM_UP_FRACTION, 0.5, ALL_SLOTS);
        double overloaded = record.goodput(0.5, 1, ALL_SLOTS);
        put("goodput_1x", saturated);
        put("goodput_2x", overloaded);
        put("goodput_2x_over_1x", overloaded / saturated);
    }

    private void addZone() {
        double settle = SETTLE_SECONDS / seconds;
        double steady = record.goodput(WARM_UP_FRACTION, 1.0 / 3, ALL_SLOTS);
        put("throughput_steady", steady);
        put("throughput_leaving_over_remaining", record.goodput(1.0 / 3, 1.0 / 3 + 2 * settle, REMAINING_SLOTS));
        put("throughput_out_over_remaining", record.goodput(1.0 / 3 + settle, 2.0 / 3, REMAINING_SLOTS));
        put("throughput_returning_over_steady", record.goodput(2.0 / 3, 2.0 / 3 + 2 * settle, ALL_SLOTS) / steady);
        put("throughput_returned_over_steady", record.goodput(2.0 / 3 + settle, 1, ALL_SLOTS) / steady);
    }

    private void put(String name, long value) {
        fields.put(name, Long.toString(value));
    }

    private void put(String name, double value) {
        fields.put(name, String.format(Locale.ROOT, "%.4f", value));
    }

    private void putPerTask(String name, double count) {
        put(name, count / Math.max(1, starts.starts()));
    }
}
