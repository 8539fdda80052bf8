package org.teaselhook.bench.failure;

import java.util.List;
import java.util.stream.IntStream;

/**
 * A submission at its time, and how its caller behaves.
 *
 * @param number the submission's number
 * @param job true for a job, false for a single request
 * @param idempotent whether the kind is idempotent
 * @param tasks the number of tasks
 * @param ticket whether it is named by a ticket rather than by the caller's key
 * @param entries the indexes of the entries it is sent to, one for each call in turn
 * @param waitsMillis how long the caller waits before each further call
 * @param again whether the caller asks again although it has a complete answer
 * @param twice whether the first two calls are sent at once
 * @param atMillis when it is sent first, in milliseconds since the start of the run
 */
record PlannedSubmission(
        long number,
        boolean job,
        boolean idempotent,
        int tasks,
        boolean ticket,
        List<Integer> entries,
        List<Integer> waitsMillis,
        boolean again,
        boolean twice,
        long atMillis) {

    PlannedSubmission {
        entries = List.copyOf(entries);
        waitsMillis = List.copyOf(waitsMillis);
    }

    String key() {
        return "s" + number;
    }

    /** Only claimed submissions are sent again: a single idempotent request is not claimed. */
    int maxCalls() {
        return job || !idempotent ? entries.size() : 1;
    }

    List<String> bodies() {
        return IntStream.range(0, tasks).mapToObj(i -> key() + '/' + i).toList();
    }
}
