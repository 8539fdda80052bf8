package org.teaselhook.core.job;

import java.util.HashMap;
import java.util.Map;

/**
 * How long runs take beside their estimates, by route, and how long a place is taken on average.
 */
final class RunTimes {

    /** Weight of the newest run in the averages: some seconds' runs count. */
    private static final double WEIGHT = 0.05;

    /** Assumed until runs have ended, in ms: the middle of the sub-second tasks that this serves. */
    private static final double FIRST_RUN_MILLIS = 300;

    private final Map<String, Double> ratios = new HashMap<>();
    private double meanMillis = FIRST_RUN_MILLIS;
    private long runs;

    /** Returns how many times its estimate a run of the route takes. */
    double ratio(String route) {
        return ratios.getOrDefault(route, 1.0);
    }

    /** Returns how long a run takes on average, in ms. */
    double meanMillis() {
        return meanMillis;
    }

    void ran(String route, double estimateMillis, double millis) {
        runs++;
        // What is assumed at first counts as one run, or a new entry would turn jobs away by it for seconds.
        meanMillis += Math.max(WEIGHT, 1.0 / (runs + 1)) * (millis - meanMillis);
        if (estimateMillis > 0) {
            double ratio = ratio(route);
            ratios.put(route, ratio + WEIGHT * (millis / estimateMillis - ratio));
        }
    }
}
