package org.teaselhook.bench.load;

import java.util.Locale;

/** The order in which a central queue with known run times starts its tasks. */
enum QueueOrder {
    /** First come, first served. */
    ARRIVAL {
        @Override
        double keyMillis(PlannedRequest request, int task) {
            return request.atNanos() / NANOS_PER_MILLI;
        }
    },
    /** Earliest first by the latest start time that meets the request's timeout. */
    LATEST_START {
        @Override
        double keyMillis(PlannedRequest request, int task) {
            double deadlineMillis =
                    request.atNanos() / NANOS_PER_MILLI + request.kind().timeoutMillis();
            return deadlineMillis - request.runMillis().get(task);
        }
    },
    /** Shortest task first. */
    SHORTEST {
        @Override
        double keyMillis(PlannedRequest request, int task) {
            return request.runMillis().get(task);
        }
    },
    /** Earliest first by the latest start time that keeps the response time within 1.5 times the ideal. */
    LEAST_STRETCH {
        @Override
        double keyMillis(PlannedRequest request, int task) {
            double idealMillis = request.idealMillis(LoadRun.HOP_MILLIS);
            return request.atNanos() / NANOS_PER_MILLI
                    + MAX_STRETCH * idealMillis
                    - request.runMillis().get(task);
        }
    };

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MAX_STRETCH = 1.5;

    /** Returns the sort key of a task. The task with the smallest key starts first. */
    abstract double keyMillis(PlannedRequest request, int task);

    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
