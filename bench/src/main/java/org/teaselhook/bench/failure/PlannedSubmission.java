package org.teaselhook.bench.failure;

import java.util.List;
import java.util.stream.IntStream;

/**
 * A scheduled submission and the behaviour of its caller.
 *
 * @param number the submission's number
 * @param job true for a job, false for a single request
 * @param idempotent whether the kind is idempotent
 * @param tasks the number of tasks
 * @param ticket whether it is identified by a ticket rather than by an idempotency key
 * @param entries the index of the preferred entry for each call
 * @param retryDelaysMillis the delay before each further call, in milliseconds
 * @param resubmitted whether the caller resubmits even after a complete answer
 * @param duplicated whether the first two calls are sent concurrently
 * @param atMillis when its first call is sent, in milliseconds since the start of the run
 */
record PlannedSubmission(
        long number,
        boolean job,
        boolean idempotent,
        int tasks,
        boolean ticket,
        List<Integer> entries,
        List<Integer> retryDelaysMillis,
        boolean resubmitted,
        boolean duplicated,
        long atMillis) {

    PlannedSubmission {
        entries = List.copyOf(entries);
        retryDelaysMillis = List.copyOf(retryDelaysMillis);
    }

    String key() {
        return "s" + number;
    }

    /** Returns the maximum number of calls; 1 for a single idempotent request, which is not claimed. */
    int maxCalls() {
        return job || !idempotent ? entries.size() : 1;
    }

    List<String> bodies() {
        return IntStream.range(0, tasks).mapToObj(i -> key() + '/' + i).toList();
    }
}
