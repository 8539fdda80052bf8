package org.teaselhook.core.job;

import java.util.Optional;

import org.teaselhook.core.collection.BoundedMap;

/**
 * The last ended order of each task. Those of active jobs are kept with their tasks; those of jobs that ended without
 * completing are kept for later copies, in a map of bounded size.
 */
final class OrderHistory {

    /** Some seconds of tasks whose jobs do not complete, which is longer than callers wait before they send again. */
    private static final int CAPACITY = 2_048;

    private final BoundedMap<String, EndedOrder> ofEndedJobs = BoundedMap.of(CAPACITY);

    /** Records the end of an order. */
    void ended(JobTask task, EndedOrder order, boolean jobActive) {
        task.recordEnd(order);
        if (!jobActive) {
            ofEndedJobs.put(task.name(), order);
        }
    }

    /** Keeps the ended orders of a job that is not complete. */
    void jobEnded(ActiveJob active) {
        active.tasks().forEach(task -> task.lastEnd().ifPresent(end -> ofEndedJobs.put(task.name(), end)));
    }

    /** Returns the last ended order of a task, empty if this is its first order or the last one is forgotten. */
    Optional<EndedOrder> find(JobTask task) {
        return task.lastEnd().or(() -> ofEndedJobs.find(task.name()));
    }
}
