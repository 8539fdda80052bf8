package org.teaselhook.core.job;

import org.teaselhook.core.lease.RunForecast;

/**
 * Decides whether a run is worth moving to another worker. A worker may become several times slower or stall with runs
 * in progress: a job is as late as its slowest task, and the rest of a run there may take longer than a whole run
 * elsewhere.
 */
final class Relocation {

    /** The least slowness at which runs are moved: unequal workers and wrong estimates account for less. */
    private static final double MIN_SLOWNESS = 1.8;

    /** How many times as long as the new run the rest of the old one must take, as its finished work is lost. */
    private static final double MIN_GAIN = 1.4;

    /** The time to stop a run and start it on another worker, in ms. */
    private static final double MOVE_MILLIS = 70;

    private Relocation() {}

    /** Tells whether a run ends sooner if it is stopped and run again on a worker of normal speed. */
    static boolean isWorthwhile(RunForecast forecast, double slowness) {
        double remainingMillis = forecast.totalMillis() - forecast.elapsedMillis();
        double rerunMillis = forecast.totalMillis() / slowness;
        return slowness >= MIN_SLOWNESS && remainingMillis > MIN_GAIN * rerunMillis + MOVE_MILLIS;
    }

    /** Returns the inputs of the decision, as pairs of key and value. */
    static Object[] inputs(RunForecast forecast, String worker, double slowness) {
        return new Object[] {
            "worker",
            worker,
            "slowness",
            Math.round(10 * slowness) / 10.0,
            "elapsed_ms",
            forecast.elapsedMillis(),
            "total_ms",
            forecast.totalMillis()
        };
    }
}
