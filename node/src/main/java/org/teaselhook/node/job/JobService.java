package org.teaselhook.node.job;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.job.JobResult;
import org.teaselhook.core.job.Step;
import org.teaselhook.core.route.Route;

/**
 * What the entry does for callers. Called on traffic threads; no method blocks.
 */
public interface JobService {

    /**
     * Tells whether any routes are known.
     *
     * @return false until the operators' decisions were read or heard
     */
    boolean knowsRoutes();

    /**
     * Tells whether a job is to be turned away unread, because the entry is behind with its work. A job that was sent
     * here before never is, as its earlier copy may have run.
     *
     * @param jobId the job's id
     * @return when its caller may come back, or empty if the job is to be read
     */
    Optional<Duration> shed(String jobId);

    /**
     * Finds the route of a request.
     *
     * @param host the host that the caller named, without port
     * @param path the request's path
     * @return the route, or empty if there is none
     */
    Optional<Route> route(String host, String path);

    /**
     * Takes a job.
     *
     * @param route its route
     * @param jobId the caller's id of it
     * @param spec the text that each task is given
     * @param steps the steps
     * @param timeoutMillis how long its caller waits
     * @param closed completes when the caller's connection closes before the answer
     * @return the one final answer
     */
    CompletionStage<JobResult> submit(
            Route route, String jobId, String spec, List<Step> steps, long timeoutMillis, CompletionStage<Void> closed);

    /**
     * Cancels a job.
     *
     * @param jobId the job's id
     * @return whether it was in progress
     */
    CompletionStage<Boolean> cancel(String jobId);

    /**
     * Tells whether a job is in progress here.
     *
     * @param jobId the job's id
     * @return true if so
     */
    CompletionStage<Boolean> isActive(String jobId);

    /**
     * Counts the jobs of a route that have not begun.
     *
     * @param route the route
     * @return the number
     */
    CompletionStage<Integer> queued(Route route);
}
