package org.teaselhook.bench.load;

import java.util.Locale;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** What callers saw. Thread-safe. */
final class LoadRecord {

    private static final double RATIO_SCALE = 1_000;
    private static final long MOST_RATIO = 1_000_000_000L;
    private static final int DIGITS = 3;

    private final int seconds;
    private final Histogram ratios = emptyRatios();
    private final double[] workDone;
    private final long[] submitted;
    private final long[] failed;
    private final long[] outcomes = new long[CallerOutcome.values().length];
    private long resent;

    LoadRecord(int seconds) {
        this.seconds = seconds;
        this.workDone = new double[seconds + 1];
        this.submitted = new long[seconds + 1];
        this.failed = new long[seconds + 1];
    }

    // -- updates

    synchronized void answered(PlannedRequest request, CallerOutcome outcome, double sinceStartMillis, double ideal) {
        int arrivedIn = second(request.atNanos() / 1e6);
        submitted[arrivedIn]++;
        outcomes[outcome.ordinal()]++;
        if (outcome != CallerOutcome.COMPLETE) {
            failed[arrivedIn]++;
            return;
        }
        double took = sinceStartMillis - request.atNanos() / 1e6;
        add(ratios, took / ideal);
        if (sinceStartMillis < seconds * 1e3) {
            workDone[second(sinceStartMillis)] += request.workMillis();
        }
    }

    synchronized void resent() {
        resent++;
    }

    private int second(double millis) {
        return Math.min(seconds, (int) (millis / 1e3));
    }

    // -- results

    synchronized long count(CallerOutcome outcome) {
        return outcomes[outcome.ordinal()];
    }

    synchronized long submissions() {
        long sum = 0;
        for (long outcome : outcomes) {
            sum += outcome;
        }
        return sum;
    }

    synchronized long resends() {
        return resent;
    }

    String ratio(double percentile) {
        return String.format(Locale.ROOT, "%.3f", ratio(ratios, percentile));
    }

    // -- histograms of ratios

    static Histogram emptyRatios() {
        return new ConcurrentHistogram(MOST_RATIO, DIGITS);
    }

    static void add(Histogram ratios, double ratio) {
        ratios.recordValue(Math.min(MOST_RATIO, Math.max(0, Math.round(ratio * RATIO_SCALE))));
    }

    static double ratio(Histogram ratios, double percentile) {
        return ratios.getValueAtPercentile(percentile) / RATIO_SCALE;
    }

    // -- work and failures

    /** Work finished in time, per second and slot, in a span of the run. */
    synchronized double goodput(double from, double to, double slots) {
        int first = (int) Math.ceil(from * seconds);
        int end = (int) Math.floor(to * seconds);
        double sum = 0;
        for (int i = first; i < end; i++) {
            sum += workDone[i];
        }
        return sum / 1e3 / (end - first) / slots;
    }

    /** The share of submissions that arrived in a span of the run and were not completed. */
    synchronized double failedShare(double fromSecond, double toSecond) {
        long all = 0;
        long bad = 0;
        for (int i = (int) Math.ceil(fromSecond); i < (int) Math.floor(toSecond); i++) {
            all += submitted[i];
            bad += failed[i];
        }
        return all == 0 ? 0 : (double) bad / all;
    }
}
