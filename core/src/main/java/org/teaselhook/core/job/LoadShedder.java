package org.teaselhook.core.job;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Sheds load of an entry whose own processing lags: decides which new requests are refused before they are read. It
 * guards against more callers than the entry's processor can serve, as when half of a zone's clients move to a small
 * entry: every request would be late, agents would miss the entry's heartbeats and stop its runs, and the wasted work
 * would keep the entry overloaded. The share of refused requests rises and falls with the lag. Thread-safe.
 */
public final class LoadShedder {

    /** The tolerated lag, in ns: half of the 60 ms that an objective allows beyond the work itself. */
    private static final double TOLERATED_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    /** The tolerated lag while the code of a new entry is being loaded and compiled, in ns: callers wait as long. */
    private static final double TOLERATED_WARM_UP_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** How long after its start an entry is slow for that reason, in ns. */
    private static final long WARM_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** The decrease of the share at a measurement without lag, and its increase at one of twice the tolerated lag. */
    private static final double SHARE_STEP = 0.1;

    /** The greatest increase of the share at once, in steps, so that one long pause does not shed all requests. */
    private static final double MAX_STEPS_UP = 3;

    /** The greatest share: some requests are always accepted, so that a recovered entry is used again. */
    private static final double MAX_SHARE = 0.95;

    /** Nothing is shed up to this many jobs: their work takes 40 ms on 0.36 of a core, too little to cause a lag. */
    private static final int MAX_EXEMPT_JOBS = 16;

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

    private final long intervalMillis;
    private final long startedAt;
    private double share;
    private double accumulatedShare;

    private LoadShedder(long intervalMillis, long startedAt) {
        this.intervalMillis = intervalMillis;
        this.startedAt = startedAt;
    }

    /**
     * Returns a shedder that refuses nothing yet.
     *
     * @param intervalMillis the time between two measurements
     * @param startedAt when the entry started
     * @return a new shedder
     */
    public static LoadShedder withInterval(long intervalMillis, long startedAt) {
        return new LoadShedder(intervalMillis, startedAt);
    }

    /**
     * Records a measurement of the lag.
     *
     * @param nowNanos the present time
     * @param lagNanos how long an empty task waited for the entry's threads, in nanoseconds
     */
    public synchronized void recordLag(long nowNanos, long lagNanos) {
        boolean warmingUp = nowNanos - startedAt < WARM_UP_NANOS;
        double toleratedNanos = warmingUp ? TOLERATED_WARM_UP_LAG_NANOS : TOLERATED_LAG_NANOS;
        double steps = Math.min(MAX_STEPS_UP, lagNanos / toleratedNanos - 1);
        share = Math.max(0, Math.min(MAX_SHARE, share + SHARE_STEP * steps));
    }

    /**
     * Tells whether the next request is refused. Refusals are spread evenly according to {@link #share()}.
     *
     * @param jobs the jobs in progress at this entry
     * @return true if so
     */
    public synchronized boolean shouldShedNext(int jobs) {
        if (jobs <= MAX_EXEMPT_JOBS) {
            return false;
        }
        accumulatedShare += share;
        if (accumulatedShare < 1) {
            return false;
        }
        accumulatedShare -= 1;
        return true;
    }

    /**
     * Returns when a refused caller may retry: after the share could have fallen to zero.
     *
     * @return the time from now
     */
    public synchronized Duration retryAfter() {
        Duration untilNothingIsShed = Duration.ofMillis(Math.round(share / SHARE_STEP * intervalMillis));
        return untilNothingIsShed.compareTo(MIN_RETRY_AFTER) > 0 ? untilNothingIsShed : MIN_RETRY_AFTER;
    }

    /**
     * Returns the share of requests that are refused.
     *
     * @return from 0 to less than 1
     */
    public synchronized double share() {
        return share;
    }
}
