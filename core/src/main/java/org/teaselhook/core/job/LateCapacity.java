package org.teaselhook.core.job;

/**
 * The capacity that late jobs may use: what arriving jobs leave of this entry's share. Under load near capacity, as
 * after the return of all VMs, late jobs that use whatever is free at a moment make the next jobs late as well.
 *
 * @param limitCpuMillis the CPU that the tasks of late jobs may use together, in thousandths of a core
 * @param runningCpuMillis the CPU that they use now
 */
record LateCapacity(double limitCpuMillis, long runningCpuMillis) {

    /**
     * Returns the capacity for late jobs.
     *
     * @param ownCpuMillis this entry's share of the capacity
     * @param demandCpuMillis the capacity that arriving jobs need
     * @param runningCpuMillis what tasks of late jobs use now
     */
    static LateCapacity of(double ownCpuMillis, double demandCpuMillis, long runningCpuMillis) {
        return new LateCapacity(Math.max(0, ownCpuMillis - demandCpuMillis), runningCpuMillis);
    }

    /** Tells whether tasks that need the given CPU may start now; a job above the limit may if it is the only one. */
    boolean hasRoomFor(long cpuMillis) {
        return limitCpuMillis > 0 && runningCpuMillis == 0 || runningCpuMillis + cpuMillis <= limitCpuMillis;
    }

    /** Returns the capacity that is left when tasks that need the given CPU have started. */
    LateCapacity minus(long cpuMillis) {
        return new LateCapacity(limitCpuMillis, runningCpuMillis + cpuMillis);
    }

    /** Returns the forecast of how long a late job waits. */
    WaitForecast forecast(double meanRunMillis) {
        long freeCpuMillis = Math.round(Math.max(0, limitCpuMillis - runningCpuMillis));
        return new WaitForecast(freeCpuMillis, Math.round(limitCpuMillis), 1, meanRunMillis);
    }
}
