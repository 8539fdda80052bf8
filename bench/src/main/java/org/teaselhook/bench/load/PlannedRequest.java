package org.teaselhook.bench.load;

import java.util.List;

/**
 * One arrival.
 *
 * @param number unique in the run
 * @param kind the kind
 * @param atNanos when the customer sends it, counted from the start of the run
 * @param runMillis the run time of each task on a sound worker
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

    /** The response time with every task starting at once, over the latencies between client, entry and worker. */
    double idealMillis(double hopMillis) {
        double longest =
                runMillis.stream().mapToDouble(Double::doubleValue).max().orElse(0);
        return longest + 2 * kind.clientLatencyMillis() + 2 * hopMillis;
    }
}
