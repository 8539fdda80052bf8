package org.teaselhook.core.job;

import java.util.concurrent.TimeUnit;

/**
 * Computes by when a job must start to meet its objective or at least to be of use, and when it is given up.
 */
final class JobPlanner {

    /** The number of objectives after which the result of a job is of no use to its caller. */
    private static final double MAX_OBJECTIVES = 3;

    /** How many times its estimate a job may take, so that a wrong estimate does not discard work in progress. */
    private static final double MAX_ESTIMATE_ERROR = 2;

    /** How long before the deadline a job is given up at the latest, in ns, so that the answer arrives in time. */
    private static final long ANSWER_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private static final double NANOS_PER_MILLI = 1e6;

    private final RunTimeAverages runTimes;
    private long lastSequence;

    JobPlanner(RunTimeAverages runTimes) {
        this.runTimes = runTimes;
    }

    /** Plans a job by its estimates; one without estimates may start and run as long as its caller can be answered. */
    ActiveJob plan(Job job) {
        lastSequence++;
        long lastAnswerAt = Math.max(job.arrivedAt(), job.deadline() - ANSWER_MARGIN_NANOS);
        if (job.criticalPathMillis() == 0) {
            return new ActiveJob(job, lastSequence, lastAnswerAt, lastAnswerAt, lastAnswerAt);
        }
        double workMillis =
                job.criticalPathMillis() * runTimes.ratio(job.route().name());
        double objectiveMillis = job.route().objectiveMillis(workMillis);
        long latestStart = job.arrivedAt() + nanos(objectiveMillis - workMillis);
        long uselessFrom = job.arrivedAt() + usefulNanos(objectiveMillis, MAX_ESTIMATE_ERROR);
        long giveUpAt = uselessFrom - lastAnswerAt < 0 ? uselessFrom : lastAnswerAt;
        long usefulUntil = Math.min(usefulNanos(objectiveMillis, 1), lastAnswerAt - job.arrivedAt());
        long latestUsefulStart =
                job.arrivedAt() + Math.max(latestStart - job.arrivedAt(), usefulUntil - nanos(workMillis));
        return new ActiveJob(job, lastSequence, latestStart, latestUsefulStart, giveUpAt);
    }

    /** Returns the time after which an answer is of no use, if the estimate is too low by the given factor. */
    private static long usefulNanos(double objectiveMillis, double estimateError) {
        return nanos(objectiveMillis * MAX_OBJECTIVES * estimateError);
    }

    private static long nanos(double millis) {
        return (long) (millis * NANOS_PER_MILLI);
    }
}
