package org.teaselhook.core.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Moving averages of the run times: relative to the estimates by route, and in milliseconds over all routes.
 */
final class RunTimeAverages {

    /** Weight of the newest run in the averages, which cover the runs of some seconds. */
    private static final double WEIGHT = 0.05;

    /** Assumed mean until runs have ended, in ms: a typical run time of the sub-second tasks that this serves. */
    private static final double ASSUMED_RUN_MILLIS = 300;

    private final Map<String, Double> ratios = new HashMap<>();
    private double meanMillis = ASSUMED_RUN_MILLIS;
    private long runs;

    /** Returns the average ratio of run time to estimate of the route; 1 until a run has ended. */
    double ratio(String route) {
        return ratios.getOrDefault(route, 1.0);
    }

    /** Returns the average run time, in ms. */
    double meanMillis() {
        return meanMillis;
    }

    void add(String route, double estimateMillis, double millis) {
        runs++;
        // The assumed mean counts as one run only; otherwise a new entry would refuse jobs because of it for seconds.
        meanMillis += Math.max(WEIGHT, 1.0 / (runs + 1)) * (millis - meanMillis);
        if (estimateMillis > 0) {
            double ratio = ratio(route);
            ratios.put(route, ratio + WEIGHT * (millis / estimateMillis - ratio));
        }
    }
}
