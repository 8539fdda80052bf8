package org.teaselhook.core.job;

import org.teaselhook.core.lease.RunForecast;

/**
 * Decides whether a run is worth moving. Answers workers that turn several times slower, or stand still, while runs are
 * on them: a job is as late as its slowest task, and what is left there takes longer than all of it elsewhere.
 */
final class Relocation {

    /** A worker that is not slower than this keeps its runs: unequal workers and wrong estimates look like it. */
    private static final double SLOW = 1.8;

    /** How many times the new run must be covered by what is left of the old one, as work is thrown away. */
    private static final double GAIN = 1.4;

    /** What stopping a run and starting it elsewhere takes, in ms. */
    private static final double MOVE_MILLIS = 70;

    private Relocation() {}

    /** Tells whether a run ends sooner if it is stopped and run again on a worker of the usual speed. */
    static boolean pays(RunForecast forecast, double slowness) {
        double left = forecast.totalMillis() - forecast.elapsedMillis();
        double again = forecast.totalMillis() / slowness;
        return slowness >= SLOW && left > GAIN * again + MOVE_MILLIS;
    }

    /** Returns what decided, as pairs of key and value. */
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
