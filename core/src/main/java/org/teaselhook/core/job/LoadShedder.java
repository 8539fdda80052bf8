package org.teaselhook.core.job;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Decides which new requests an entry turns away before it reads them, because it is behind with its own work. Answers
 * more callers than the entry's processor can carry, as when half of a zone's clients move to a small entry: without
 * it, every request would be late, agents would hear nothing of the entry for so long that they stop its runs, and work
 * done in vain would keep it behind. The share that is turned away follows the lag, up and down. Thread-safe.
 */
public final class LoadShedder {

    /** The lag that is borne, in ns: half of the time that an objective leaves beside the work (60 ms). */
    private static final double BORNE_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    /** How much the share falls with each measurement without lag, and rises with one of twice the lag borne. */
    private static final double STEP = 0.1;

    /** The most that the share rises at once, in steps: one long pause does not turn everybody away. */
    private static final double MAX_STEPS_UP = 3;

    /** The greatest share: some requests are always taken, so that an entry that is free again is used again. */
    private static final double MAX_SHARE = 0.95;

    /** Up to so many jobs in progress are never the cause of a lag: their work takes 40 ms on 0.36 of a core. */
    private static final int FEW_JOBS = 16;

    private static final Duration SHORTEST_PAUSE = Duration.ofMillis(200);

    private final long intervalMillis;
    private double share;
    private double due;

    private LoadShedder(long intervalMillis) {
        this.intervalMillis = intervalMillis;
    }

    /**
     * Returns a shedder that turns nobody away.
     *
     * @param intervalMillis the time between two measurements
     * @return a new shedder
     */
    public static LoadShedder measuredEvery(long intervalMillis) {
        return new LoadShedder(intervalMillis);
    }

    /**
     * Takes a measurement.
     *
     * @param lagNanos how long work that takes no time waited for the entry's threads
     */
    public synchronized void measured(long lagNanos) {
        double steps = Math.min(MAX_STEPS_UP, lagNanos / BORNE_NANOS - 1);
        share = Math.max(0, Math.min(MAX_SHARE, share + STEP * steps));
    }

    /**
     * Tells whether the next request is turned away. Of many requests, the share is, evenly spread.
     *
     * @param jobs the jobs in progress at this entry
     * @return true if so
     */
    public synchronized boolean shedsNext(int jobs) {
        if (jobs <= FEW_JOBS) {
            return false;
        }
        due += share;
        if (due < 1) {
            return false;
        }
        due -= 1;
        return true;
    }

    /**
     * Returns when a caller that is turned away may come back: when the lag has had time to fall.
     *
     * @return the time from now
     */
    public synchronized Duration comeBack() {
        Duration untilNobodyIsShed = Duration.ofMillis(Math.round(share / STEP * intervalMillis));
        return untilNobodyIsShed.compareTo(SHORTEST_PAUSE) > 0 ? untilNobodyIsShed : SHORTEST_PAUSE;
    }

    /**
     * Returns the share of requests that is turned away.
     *
     * @return from 0 to less than 1
     */
    public synchronized double share() {
        return share;
    }
}
