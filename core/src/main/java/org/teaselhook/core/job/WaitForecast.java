package org.teaselhook.core.job;

/**
 * Forecast of how long a job would wait. Under load above capacity, a job that cannot start by its latest useful start
 * is refused on arrival, when its caller can still try another entry and before it lengthens the wait of others.
 *
 * @param freeCpuMillis the CPU that is free now, in thousandths of a core
 * @param totalCpuMillis the CPU of all workers that serve the job, in thousandths of a core
 * @param share the share of this entry in what becomes free, from 0 to 1
 * @param meanRunMillis the mean run time
 */
record WaitForecast(long freeCpuMillis, long totalCpuMillis, double share, double meanRunMillis) {

    /** Returns the wait, in ms, until the given CPU (of all earlier work and of the job itself) is available. */
    double waitMillis(long neededCpuMillis) {
        long missingCpuMillis = neededCpuMillis - freeCpuMillis;
        if (missingCpuMillis <= 0) {
            return 0;
        }
        double releasedCpuPerMilli = totalCpuMillis * share / Math.max(1, meanRunMillis);
        return releasedCpuPerMilli == 0 ? Double.POSITIVE_INFINITY : missingCpuMillis / releasedCpuPerMilli;
    }
}
