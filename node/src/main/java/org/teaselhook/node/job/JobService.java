package org.teaselhook.node.job;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.job.JobResult;
import org.teaselhook.core.job.Step;
import org.teaselhook.core.route.Route;

/**
 * The operations that an entry offers to callers. Called on I/O threads; no method blocks.
 */
public interface JobService {

    /**
     * Tells whether any routes are known.
     *
     * @return false until the operators' routes were read from the store or received from an agent
     */
    boolean hasRoutes();

    /**
     * Decides whether a job is shed before its body is read, because the entry is overloaded. A job that this entry has
     * accepted before is never shed, as the earlier request may have run it.
     *
     * @param jobId the job's id
     * @return the time after which the caller may retry, or empty if the job is accepted
     */
    Optional<Duration> retryAfterIfShed(String jobId);

    /**
     * Finds the route of a request.
     *
     * @param host the host of the request, without port
     * @param path the request's path
     * @return the route, or empty if there is none
     */
    Optional<Route> route(String host, String path);

    /**
     * Submits a job.
     *
     * @param route its route
     * @param jobId the id that its caller gave it
     * @param spec the text passed to each task
     * @param steps its steps
     * @param receivedAt when its request was read, in nanoseconds; its caller was still connected after that
     * @param timeoutMillis how long its caller waits, in milliseconds
     * @param closed completes if the caller's connection closes before the answer
     * @return the final answer
     */
    CompletionStage<JobResult> submit(
            Route route,
            String jobId,
            String spec,
            List<Step> steps,
            long receivedAt,
            long timeoutMillis,
            CompletionStage<Void> closed);

    /**
     * Cancels a job.
     *
     * @param jobId the job's id
     * @return whether it was in progress
     */
    CompletionStage<Boolean> cancel(String jobId);

    /**
     * Tells whether a job is in progress at this entry.
     *
     * @param jobId the job's id
     * @return true if so
     */
    CompletionStage<Boolean> isActive(String jobId);

    /**
     * Counts the queued jobs of a route: those that no worker has started.
     *
     * @param route the route
     * @return the number
     */
    CompletionStage<Integer> queuedJobs(Route route);
}
