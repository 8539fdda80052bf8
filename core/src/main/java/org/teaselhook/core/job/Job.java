package org.teaselhook.core.job;

import java.util.List;
import java.util.Objects;

import org.teaselhook.core.route.Route;

/**
 * A job as its caller sent it. It is not persisted: it lasts until it is answered or the caller's connection closes.
 *
 * @param id the id that the caller chose
 * @param route the route that it arrived by
 * @param spec the specification that is passed to each task
 * @param steps the steps, at least one
 * @param arrivedAt when it arrived
 * @param deadline when its caller stops waiting
 */
public record Job(String id, Route route, String spec, List<Step> steps, long arrivedAt, long deadline) {

    /** Copies the list. */
    public Job {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(route, "route is null");
        Objects.requireNonNull(spec, "spec is null");
        steps = List.copyOf(steps);
    }

    /**
     * Returns the estimated duration of the critical path: the longest chain of dependent steps, one task of each.
     *
     * @return the estimate, in milliseconds
     */
    public long criticalPathMillis() {
        long[] finishMillis = new long[steps.size()];
        long longestMillis = 0;
        for (int i = 0; i < finishMillis.length; i++) {
            long startMillis = 0;
            for (int dependency : steps.get(i).after()) {
                startMillis = Math.max(startMillis, finishMillis[dependency]);
            }
            finishMillis[i] = startMillis + steps.get(i).estimateMillis();
            longestMillis = Math.max(longestMillis, finishMillis[i]);
        }
        return longestMillis;
    }

    /**
     * Returns the total work of all tasks.
     *
     * @return the estimated CPU time, in core-milliseconds
     */
    public double workCoreMillis() {
        return steps.stream()
                .mapToDouble(step ->
                        step.tasks() * step.estimateMillis() * step.amounts().cpuMillis() / 1000.0)
                .sum();
    }
}
