package org.teaselhook.core.job;

import java.util.List;
import java.util.Objects;

import org.teaselhook.core.route.Route;

/**
 * A job as its caller sent it. Nothing of it is stored: it ends with the answer, or with the caller's connection.
 *
 * @param id the caller's id of it
 * @param route the route it came by
 * @param spec the text that each task is given
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
     * Returns how long the longest chain of steps probably takes, one task of each after the other.
     *
     * @return the estimate, in milliseconds
     */
    public long chainMillis() {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < ends.length; i++) {
            long begin = 0;
            for (int earlier : steps.get(i).after()) {
                begin = Math.max(begin, ends[earlier]);
            }
            ends[i] = begin + steps.get(i).estimateMillis();
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    /**
     * Returns the work of all tasks.
     *
     * @return processor time, in core-milliseconds by the estimates
     */
    public double workCoreMillis() {
        return steps.stream()
                .mapToDouble(step ->
                        step.tasks() * step.estimateMillis() * step.amounts().cpuMillis() / 1000.0)
                .sum();
    }
}
