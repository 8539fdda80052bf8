package org.teaselhook.core.dispatch;

import java.util.List;
import java.util.Objects;

/**
 * A request or job accepted by the entry for dispatch. Times are on the entry's monotonic clock, in nanoseconds.
 *
 * @param id an id unique among all submissions of this entry
 * @param service the service's name
 * @param customer the customer's name
 * @param tasks the tasks, at least one
 * @param startedAt when the request arrived
 * @param deadline when the caller stops waiting
 * @param atMostOnce true for jobs and non-idempotent requests, whose tasks start at most once: a task is sent again
 *     only after a refusal; false for a single idempotent request, which may be hedged, or retried after a possible
 *     start
 */
public record Submission(
        String id,
        String service,
        String customer,
        List<TaskRequest> tasks,
        long startedAt,
        long deadline,
        boolean atMostOnce) {

    /**
     * Copies the tasks.
     *
     * @throws IllegalArgumentException if there is no task, or if a submission that may start more than once is not a
     *     single idempotent task
     */
    public Submission {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(customer, "customer is null");
        tasks = List.copyOf(tasks);
        if (tasks.isEmpty()) {
            throw new IllegalArgumentException("tasks is empty");
        }
        if (!atMostOnce && (tasks.size() > 1 || !tasks.get(0).idempotent())) {
            throw new IllegalArgumentException("only a single idempotent request may start more than once");
        }
    }

    /**
     * Returns the number of tasks.
     *
     * @return at least 1
     */
    public int size() {
        return tasks.size();
    }
}
