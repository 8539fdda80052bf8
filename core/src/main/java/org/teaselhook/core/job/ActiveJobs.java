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
    private final TreeSet<ActiveJob> waiting = new TreeSet<>(ActiveJob.TURN);

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

    /** Whether the job of a task is still in progress, and not a later copy under its id. */
    boolean isCurrent(JobTask task) {
        return byId.get(task.job().job().id()) == task.job();
    }

    List<ActiveJob> all() {
        return new ArrayList<>(byId.values());
    }

    /** Returns the jobs with tasks to start, the next one first. */
    List<ActiveJob> inTurn() {
        return new ArrayList<>(waiting);
    }

    /** Returns the jobs with tasks to start that go before the given one. */
    Collection<ActiveJob> ahead(ActiveJob active) {
        return waiting.headSet(active);
    }

    /** Returns the jobs with tasks to start that go before the given one since they have begun. */
    Collection<ActiveJob> begunBefore(ActiveJob active) {
        return ahead(active).stream().filter(ActiveJob::hasBegun).toList();
    }

    /** Counts the jobs of a route that have not begun. */
    int queued(String route) {
        return Math.toIntExact(byId.values().stream()
                .filter(job -> !job.hasBegun() && job.job().route().name().equals(route))
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

    /** Puts a job in line if it has tasks to start, else takes it out. */
    void refresh(ActiveJob active) {
        if (active.ready().isEmpty()) {
            waiting.remove(active);
        } else {
            waiting.add(active);
        }
    }

    /** Notes that a job has begun, which changes its turn. */
    void begin(ActiveJob active) {
        waiting.remove(active);
        active.begin();
        waiting.add(active);
    }
}
