package org.teaselhook.bench.load;

import java.util.List;

/**
 * A request that is sent at a planned time.
 *
 * @param number unique in the run
 * @param kind the kind of request
 * @param atNanos when the customer sends it, from the start of the run
 * @param runMillis the run time of each task on a healthy worker
 */
record PlannedRequest(long number, RequestKind kind, long atNanos, List<Double> runMillis) {

    /** Copies the list. */
    PlannedRequest {
        runMillis = List.copyOf(runMillis);
    }

    int tasks() {
        return runMillis.size();
    }

    double workMillis() {
        return runMillis.stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Returns the response time without queueing: the longest task and the latencies of client, entry and worker. */
    double idealMillis(double hopMillis) {
        double longest =
                runMillis.stream().mapToDouble(Double::doubleValue).max().orElse(0);
        return longest + 2 * kind.clientLatencyMillis() + 2 * hopMillis;
    }
}
