package org.teaselhook.core.job;

import java.util.List;

/**
 * The capacity of the workers that serve a service, as known to this entry.
 *
 * @param workers the workers that accept work and are not avoided
 * @param entries the number of entries that share them, this one included
 */
record ServiceCapacity(List<WorkerRecord> workers, int entries) {

    static ServiceCapacity of(WorkerFleet fleet, SchedulingContext context, String service) {
        List<WorkerRecord> workers = fleet.all().stream()
                .filter(w -> w.serves(service) && !context.isOut(w.zone()) && !w.isAvoided(context.nowNanos()))
                .toList();
        return new ServiceCapacity(workers, context.entries());
    }

    boolean isEmpty() {
        return workers.isEmpty();
    }

    /** Whether each task of a job fits on some worker while that is empty. */
    boolean fits(Job job) {
        return job.steps().stream().allMatch(step -> workers.stream()
                .anyMatch(w -> step.amounts().fitsInto(w.view().capacity())));
    }

    /** Returns the forecast of how long a job waits. */
    WaitForecast forecast(double meanRunMillis) {
        long free = workers.stream()
                .mapToLong(w -> Math.max(0, w.free().cpuMillis()))
                .sum();
        return new WaitForecast(free, totalCpuMillis(), share(), meanRunMillis);
    }

    /**
     * Returns the capacity that late jobs may use.
     *
     * @param demandCpuMillis the capacity that arriving jobs need
     * @param lateCpuMillis what tasks of late jobs use now
     */
    LateCapacity forLateJobs(double demandCpuMillis, long lateCpuMillis) {
        return LateCapacity.of(totalCpuMillis() * share(), demandCpuMillis, lateCpuMillis);
    }

    private long totalCpuMillis() {
        return workers.stream().mapToLong(w -> w.view().capacity().cpuMillis()).sum();
    }

    /**
     * Returns the share of this entry in the capacity: an equal one, or what it uses now if that is more. Callers are
     * distributed unevenly, and an entry with many of them would refuse jobs that it can place.
     */
    private double share() {
        long own = 0;
        long used = 0;
        for (WorkerRecord worker : workers) {
            own += worker.placedCpuMillis();
            used += worker.usedCpuMillis();
        }
        double equal = 1.0 / Math.max(1, entries);
        return used == 0 ? equal : Math.max(equal, Math.min(1, (double) own / used));
    }
}
