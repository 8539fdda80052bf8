package org.teaselhook.core.job;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Admission control: decides whether a job is accepted on arrival, and whether it may still start when there is room
 * for it. Jobs that cannot be served in time are refused at once.
 */
final class JobAdmission {

    private static final double NANOS_PER_MILLI = 1e6;

    /** The longest delay that a refused caller is told, in ms: the load may have changed by then. */
    private static final double MAX_RETRY_AFTER_MILLIS = 2_000;

    private final WorkerFleet fleet;
    private final ActiveJobs jobs;
    private final RunTimeAverages runTimes;
    private final DemandAverage demand;

    JobAdmission(WorkerFleet fleet, ActiveJobs jobs, RunTimeAverages runTimes, long startedAt) {
        this.fleet = fleet;
        this.jobs = jobs;
        this.runTimes = runTimes;
        this.demand = new DemandAverage(startedAt);
    }

    /**
     * Returns why a job is refused on arrival, or empty if it is accepted. A job that will miss its objective, but can
     * be answered while its caller waits, is accepted and marked as late.
     *
     * @param context the inputs of the decision
     * @param active the job
     */
    Optional<Problem> refusalOnArrival(SchedulingContext context, ActiveJob active) {
        long nowNanos = context.nowNanos();
        Job job = active.job();
        if (nowNanos - job.deadline() >= 0) {
            return problem(ProblemKind.OVERLOADED, "the deadline had passed on arrival");
        }
        demand.add(nowNanos, job.workCoreMillis() * runTimes.ratio(job.route().name()));
        ServiceCapacity capacity = capacity(context, job);
        if (capacity.isEmpty()) {
            return refusalWithoutWorker(nowNanos, active);
        }
        if (!capacity.fits(job)) {
            return problem(ProblemKind.NO_WORKER, "no worker is large enough for a task");
        }
        if (fleet.isForming(nowNanos)) {
            return Optional.empty();
        }
        WaitForecast forecast = capacity.forecast(runTimes.meanMillis());
        Optional<Problem> refusal = refusalIfTooLate(nowNanos, active, readyCpuMillis(jobs.before(active)), forecast);
        if (refusal.isEmpty()) {
            return refusal;
        }
        active.markLate();
        LateForecast lateForecast = lateForecast(nowNanos, capacity);
        jobs.lateBefore(active).forEach(lateForecast::addAhead);
        return lateForecast.refusal(nowNanos, active).map(ignored -> refusal.get());
    }

    /**
     * Returns the waiting late jobs that cannot be answered while their callers wait, with the reasons.
     *
     * @param context the inputs of the decision
     */
    Map<ActiveJob, Problem> unservableLateJobs(SchedulingContext context) {
        List<ActiveJob> late = jobs.late();
        if (late.isEmpty() || fleet.isForming(context.nowNanos())) {
            return Map.of();
        }
        Map<ActiveJob, Problem> result = new LinkedHashMap<>();
        Map<String, LateForecast> forecasts = new HashMap<>();
        for (ActiveJob active : late) {
            LateForecast forecast = forecasts.computeIfAbsent(
                    active.job().route().service(),
                    service -> lateForecast(context.nowNanos(), capacity(context, active.job())));
            Optional<Problem> refusal = forecast.refusal(context.nowNanos(), active);
            if (refusal.isPresent()) {
                result.put(active, refusal.get());
            } else {
                forecast.addAhead(active);
            }
        }
        return result;
    }

    /** Returns the capacity that late jobs of a job's service may use now. */
    LateCapacity lateCapacity(SchedulingContext context, Job job) {
        return lateCapacity(context.nowNanos(), capacity(context, job));
    }

    private LateCapacity lateCapacity(long nowNanos, ServiceCapacity capacity) {
        return capacity.forLateJobs(demand.cpuMillis(nowNanos), fleet.lateCpuMillis());
    }

    /**
     * Returns why the last tasks of the next job would miss its objective, or empty if they would not. Under load that
     * fills the fleet, a job of many tasks that starts although its last tasks will be late takes capacity from jobs
     * that would be in time.
     *
     * @param context the inputs of the decision
     * @param active the job
     */
    Optional<Problem> refusalAtTurn(SchedulingContext context, ActiveJob active) {
        ServiceCapacity capacity = capacity(context, active.job());
        if (active.isLate() || capacity.isEmpty() || fleet.isForming(context.nowNanos())) {
            return Optional.empty();
        }
        WaitForecast forecast = capacity.forecast(runTimes.meanMillis());
        return refusalIfTooLate(context.nowNanos(), active, readyCpuMillis(jobs.startedBefore(active)), forecast);
    }

    private ServiceCapacity capacity(SchedulingContext context, Job job) {
        return ServiceCapacity.of(fleet, context, job.route().service());
    }

    private LateForecast lateForecast(long nowNanos, ServiceCapacity capacity) {
        return new LateForecast(
                capacity.forecast(runTimes.meanMillis()),
                lateCapacity(nowNanos, capacity).forecast(runTimes.meanMillis()),
                readyCpuMillis(jobs.startedOrOnTime()));
    }

    /** A new entry accepts only jobs that can wait until its first agents are expected to have connected. */
    private Optional<Problem> refusalWithoutWorker(long nowNanos, ActiveJob active) {
        if (!fleet.isAwaitingFirstWorker(nowNanos)) {
            return problem(
                    ProblemKind.NO_WORKER, "service=" + active.job().route().service());
        }
        long untilOpenNanos = fleet.nanosUntilFirstWorker(nowNanos);
        if (active.latestUsefulStart() - nowNanos >= untilOpenNanos) {
            return Optional.empty();
        }
        Duration retryAfter = Duration.ofNanos(untilOpenNanos);
        return Optional.of(Problem.of(ProblemKind.NO_WORKER, "no agent has connected yet", retryAfter));
    }

    private static long readyCpuMillis(Collection<ActiveJob> ahead) {
        return ahead.stream().mapToLong(ActiveJob::readyCpuMillis).sum();
    }

    /** Returns why a job that waits behind the given CPU starts too late, or empty if it does not. */
    static Optional<Problem> refusalIfTooLate(
            long nowNanos, ActiveJob active, long cpuMillisAhead, WaitForecast forecast) {
        double waitMillis = forecast.waitMillis(cpuMillisAhead + active.readyCpuMillis());
        long latestStart = active.isLate() ? active.latestUsefulStart() : active.latestStart();
        double slackMillis = (latestStart - nowNanos) / NANOS_PER_MILLI;
        if (waitMillis <= slackMillis) {
            return Optional.empty();
        }
        String detail = "wait_ms=" + formatMillis(waitMillis) + " slack_ms=" + Math.round(slackMillis) + " free_cpu="
                + forecast.freeCpuMillis() + " ahead_cpu=" + cpuMillisAhead;
        double retryAfterMillis = Math.max(1, Math.min(MAX_RETRY_AFTER_MILLIS, waitMillis - slackMillis));
        Duration retryAfter = Duration.ofMillis(Math.round(retryAfterMillis));
        return Optional.of(Problem.of(ProblemKind.OVERLOADED, detail, retryAfter));
    }

    private static String formatMillis(double millis) {
        return Double.isInfinite(millis) ? "unbounded" : Long.toString(Math.round(millis));
    }

    private static Optional<Problem> problem(ProblemKind kind, String detail) {
        return Optional.of(Problem.of(kind, detail));
    }
}
