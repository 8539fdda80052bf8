package org.teaselhook.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The jobs in progress, and the order in which those with tasks to start are served.
 */
final class ActiveJobs {

    private final Map<String, ActiveJob> byId = new HashMap<>();
    private final TreeSet<ActiveJob> waiting = new TreeSet<>(ActiveJob.SCHEDULING_ORDER);

    // -- accessors

    int size() {
        return byId.size();
    }

    boolean contains(String jobId) {
        return byId.containsKey(jobId);
    }

    ActiveJob find(String jobId) {
        return byId.get(jobId);
    }

    /** Whether the job of a task is still in progress; false if a later copy has taken its id. */
    boolean isCurrent(JobTask task) {
        return byId.get(task.job().job().id()) == task.job();
    }

    List<ActiveJob> all() {
        return new ArrayList<>(byId.values());
    }

    /** Returns the jobs with tasks to start, in scheduling order. */
    List<ActiveJob> waitingInOrder() {
        return new ArrayList<>(waiting);
    }

    /** Returns the jobs that have not started, cannot meet their objective any more, and do not count as late yet. */
    List<ActiveJob> newlyLate(long nowNanos) {
        return waiting.stream()
                .filter(job -> !job.hasStarted() && !job.isLate() && nowNanos - job.latestStart() > 0)
                .toList();
    }

    /** Returns the jobs with tasks to start that precede the given one in scheduling order. */
    Collection<ActiveJob> before(ActiveJob active) {
        return waiting.headSet(active);
    }

    /** Returns the jobs with tasks to start that have started or can meet their objective. */
    List<ActiveJob> startedOrOnTime() {
        return waiting.stream().filter(job -> !job.isDeferred()).toList();
    }

    /** Returns the late jobs that have not started, in scheduling order. */
    List<ActiveJob> late() {
        return waiting.stream().filter(ActiveJob::isDeferred).toList();
    }

    /** Returns the late jobs with tasks to start that precede the given one and have not started. */
    Collection<ActiveJob> lateBefore(ActiveJob active) {
        return before(active).stream().filter(ActiveJob::isDeferred).toList();
    }

    /** Returns the jobs with tasks to start that precede the given one and have started. */
    Collection<ActiveJob> startedBefore(ActiveJob active) {
        return before(active).stream().filter(ActiveJob::hasStarted).toList();
    }

    /** Counts the jobs of a route that have not started. */
    int queued(String route) {
        return Math.toIntExact(byId.values().stream()
                .filter(job -> !job.hasStarted() && job.job().route().name().equals(route))
                .count());
    }

    // -- updates

    void add(ActiveJob active) {
        byId.put(active.job().id(), active);
        waiting.add(active);
    }

    void remove(ActiveJob active) {
        waiting.remove(active);
        byId.remove(active.job().id());
    }

    /** Adds a job to the waiting ones if it has tasks to start, otherwise removes it from them. */
    void updateWaiting(ActiveJob active) {
        if (active.ready().isEmpty()) {
            waiting.remove(active);
        } else {
            waiting.add(active);
        }
    }

    /** Marks a job as late, which changes its place in the scheduling order. */
    void markLate(ActiveJob active) {
        boolean isWaiting = waiting.remove(active);
        active.markLate();
        if (isWaiting) {
            waiting.add(active);
        }
    }

    /** Marks a job as started, which changes its place in the scheduling order. */
    void markStarted(ActiveJob active) {
        waiting.remove(active);
        active.markStarted();
        waiting.add(active);
    }
}
