package org.teaselhook.bench.load;

import java.util.Locale;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Outcomes and response times as observed by callers. Thread-safe. */
final class LoadRecord {

    private static final double SLOWDOWN_SCALE = 1_000;
    private static final long MAX_SLOWDOWN = 1_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final int seconds;
    private final Histogram slowdowns = emptySlowdowns();
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

    synchronized void answered(
            PlannedRequest request, CallerOutcome outcome, double sinceStartMillis, double idealMillis) {
        int arrivalSecond = second(request.atNanos() / 1e6);
        submitted[arrivalSecond]++;
        outcomes[outcome.ordinal()]++;
        if (outcome != CallerOutcome.COMPLETE) {
            failed[arrivalSecond]++;
            return;
        }
        double responseMillis = sinceStartMillis - request.atNanos() / 1e6;
        add(slowdowns, responseMillis / idealMillis);
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

    String slowdown(double percentile) {
        return String.format(Locale.ROOT, "%.3f", slowdown(slowdowns, percentile));
    }

    // -- histograms of slowdowns

    static Histogram emptySlowdowns() {
        return new ConcurrentHistogram(MAX_SLOWDOWN, SIGNIFICANT_DIGITS);
    }

    static void add(Histogram slowdowns, double slowdown) {
        slowdowns.recordValue(Math.min(MAX_SLOWDOWN, Math.max(0, Math.round(slowdown * SLOWDOWN_SCALE))));
    }

    static double slowdown(Histogram slowdowns, double percentile) {
        return slowdowns.getValueAtPercentile(percentile) / SLOWDOWN_SCALE;
    }

    // -- work and failures

    /** Returns the work completed per second and slot between two fractions of the run. */
    synchronized double goodput(double fromFraction, double toFraction, double slots) {
        int first = (int) Math.ceil(fromFraction * seconds);
        int end = (int) Math.floor(toFraction * seconds);
        double sum = 0;
        for (int i = first; i < end; i++) {
            sum += workDone[i];
        }
        return sum / 1e3 / (end - first) / slots;
    }

    /** Returns the share of submissions arriving between two seconds of the run that were not completed. */
    synchronized double failedShare(double fromSecond, double toSecond) {
        long submittedSum = 0;
        long failedSum = 0;
        for (int i = (int) Math.ceil(fromSecond); i < (int) Math.floor(toSecond); i++) {
            submittedSum += submitted[i];
            failedSum += failed[i];
        }
        return submittedSum == 0 ? 0 : (double) failedSum / submittedSum;
    }
}
