package org.teaselhook.core.route;

import java.util.Objects;

/**
 * A route, which maps requests for a host and path prefix to the jobs of a service.
 *
 * @param name the name of the route
 * @param host the host of the requests
 * @param pathPrefix the prefix of the path; the rest of the path is the job's id
 * @param service the service whose workers run the jobs
 * @param priority the priority of the jobs; 0 is the highest
 * @param maxAttempts the number of failed runs of one task after which the job fails
 * @param stretch the latency objective as a multiple of the work on the critical path
 * @param targetLatencyMillis added to the latency objective, in milliseconds
 * @param timeoutMillis the time-out of a job, in milliseconds
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        String service,
        int priority,
        int maxAttempts,
        double stretch,
        long targetLatencyMillis,
        long timeoutMillis) {

    /** Checks that no text is null. */
    public Route {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
        Objects.requireNonNull(service, "service is null");
    }

    /**
     * Returns the latency objective of a job.
     *
     * @param workMillis the work on the job's critical path, in milliseconds
     * @return the objective, in milliseconds
     */
    public long objectiveMillis(double workMillis) {
        return Math.round(stretch * workMillis) + targetLatencyMillis;
    }
}
