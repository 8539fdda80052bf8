package org.teaselhook.core.job;

import java.util.concurrent.TimeUnit;

/**
 * Works out by when a job has to begin to be in time, and when it is of no use any more.
 */
final class JobPlanner {

    /** A job that takes longer than this many objectives is of no use to its caller. */
    private static final double USELESS_OBJECTIVES = 3;

    /** How many times its estimate a job may take: work in progress is not thrown away for a wrong estimate. */
    private static final double ESTIMATE_ERROR = 2;

    /** How long before its caller leaves a job is given up at the latest, in ns: the answer has to arrive by then. */
    private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private static final double NANOS_PER_MILLI = 1e6;

    private final RunTimes runTimes;
    private long lastSequence;

    JobPlanner(RunTimes runTimes) {
        this.runTimes = runTimes;
    }

    /** Plans a job by its estimates; one without estimates may begin and end as long as its caller can be answered. */
    ActiveJob plan(Job job) {
        lastSequence++;
        long answerable = Math.max(job.arrivedAt(), job.deadline() - ANSWER_NANOS);
        if (job.chainMillis() == 0) {
            return new ActiveJob(job, lastSequence, answerable, answerable);
        }
        double work = job.chainMillis() * runTimes.ratio(job.route().name());
        double objective = job.route().objectiveMillis(work);
        long latestStart = job.arrivedAt() + nanos(objective - work);
        long useless = job.arrivedAt() + nanos(objective * ESTIMATE_ERROR * USELESS_OBJECTIVES);
        long giveUpAt = useless - answerable < 0 ? useless : answerable;
        return new ActiveJob(job, lastSequence, latestStart, giveUpAt);
    }

    private static long nanos(double millis) {
        return (long) (millis * NANOS_PER_MILLI);
    }
}
