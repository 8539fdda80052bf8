package org.teaselhook.core.job;

/**
 * Foretells how long a job would wait. Answers load above capacity: a job that cannot begin by its latest useful start
 * is turned away on arrival, when its caller can still go elsewhere, and does not lengthen the wait of others.
 *
 * @param freeCpuMillis processor time that is free now, in thousandths of a core
 * @param totalCpuMillis processor time of all workers that serve, in thousandths of a core
 * @param entries the entries that share them, this one included
 * @param meanRunMillis how long a run takes on average
 */
record WaitForecast(long freeCpuMillis, long totalCpuMillis, int entries, double meanRunMillis) {

    /** Returns the wait in ms until work of the given size has begun, all that goes before it included. */
    double waitMillis(long cpuMillisAheadAndOwn) {
        long missing = cpuMillisAheadAndOwn - freeCpuMillis;
        if (missing <= 0) {
            return 0;
        }
        double releasedPerMillis = totalCpuMillis / Math.max(1, meanRunMillis) / Math.max(1, entries);
        return releasedPerMillis == 0 ? Double.POSITIVE_INFINITY : missing / releasedPerMillis;
    }
}
