package org.teaselhook.bench.load;

import java.util.Locale;

/** The order in which a central queue that knows every run time takes its tasks. */
enum QueueOrder {
    /** First come, first served. */
    ARRIVAL {
        @Override
        double keyMillis(PlannedRequest request, int task) {
            return request.atNanos() / NANOS_PER_MILLI;
        }
    },
    /** By the last instant at which a start still meets the request's timeout. */
    LATEST_START {
        @Override
        double keyMillis(PlannedRequest request, int task) {
            double deadline =
                    request.atNanos() / NANOS_PER_MILLI + request.kind().timeoutMillis();
            return deadline - request.runMillis().get(task);
        }
    },
    /** Shortest task first. */
    SHORTEST {
        @Override
        double keyMillis(PlannedRequest request, int task) {
            return request.runMillis().get(task);
        }
    },
    /** By the last instant at which a start still keeps the response time within one and a half of the ideal. */
    LEAST_STRETCH {
        @Override
        double keyMillis(PlannedRequest request, int task) {
            double ideal = request.idealMillis(LoadRun.HOP_MILLIS);
            return request.atNanos() / NANOS_PER_MILLI
                    + STRETCH * ideal
                    - request.runMillis().get(task);
        }
    };

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double STRETCH = 1.5;

    /** The key of a task; the task with the least key starts first. */
    abstract double keyMillis(PlannedRequest request, int task);

    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
