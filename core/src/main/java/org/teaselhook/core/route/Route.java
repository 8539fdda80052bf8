package org.teaselhook.core.route;

import java.util.Objects;

/**
 * One route: requests for a host and path are jobs of a service.
 *
 * @param name the route's name
 * @param host the host that callers name
 * @param pathPrefix the beginning of the path; the rest is the job's id
 * @param service the service whose workers run the jobs
 * @param priority 0 goes first
 * @param maxAttempts after so many failed runs of one task the job has failed
 * @param stretch the objective in multiples of the longest chain of work
 * @param targetLatencyMillis added to the objective
 * @param timeoutMillis the longest time that a job may take
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

    /** Checks the texts. */
    public Route {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
        Objects.requireNonNull(service, "service is null");
    }

    /**
     * Returns how long a job may take to be in time.
     *
     * @param workMillis the longest chain of work, in milliseconds
     * @return the objective, in milliseconds
     */
    public long objectiveMillis(double workMillis) {
        return Math.round(stretch * workMillis) + targetLatencyMillis;
    }
}
