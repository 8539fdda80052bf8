package org.teaselhook.core.job;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Decides whether a job is taken on arrival, and whether it may still begin when its turn comes. What cannot be served
 * is turned away at once.
 */
final class JobAdmission {

    private static final double NANOS_PER_MILLI = 1e6;

    /** How long the first agents take to find a new entry, in ns: with all VMs starting at once, 0.5 to 0.8 s. */
    private static final long FIRST_AGENTS_NANOS = TimeUnit.MILLISECONDS.toNanos(650);

    private final WorkerFleet fleet;
    private final RunTimes runTimes;
    private final long startedAt;

    JobAdmission(WorkerFleet fleet, RunTimes runTimes, long startedAt) {
        this.fleet = fleet;
        this.runTimes = runTimes;
        this.startedAt = startedAt;
    }

    /**
     * Returns why a job is turned away, or empty if it is taken.
     *
     * @param situation what the decision rests on
     * @param active the job
     * @param ahead the jobs that wait and go before it
     */
    Optional<Problem> refusal(Situation situation, ActiveJob active, Collection<ActiveJob> ahead) {
        long nowNanos = situation.nowNanos();
        Job job = active.job();
        if (nowNanos - job.deadline() >= 0) {
            return problem(ProblemKind.OVERLOADED, "its time had run out on arrival");
        }
        List<WorkerRecord> serving = serving(situation, job);
        if (serving.isEmpty()) {
            return noWorker(nowNanos, active);
        }
        if (!fits(job, serving)) {
            return problem(ProblemKind.NO_WORKER, "no worker is large enough for a task");
        }
        return tooLate(nowNanos, active, ahead, forecast(serving, situation.entries()));
    }

    /**
     * Returns why a job whose turn it is cannot begin any more, or empty if it can. Answers load that fills the fleet:
     * a job of many tasks that begins when its last tasks will be late takes room from jobs that would be in time.
     *
     * @param situation what the decision rests on
     * @param active the job
     * @param begun the jobs that have begun and wait for room
     */
    Optional<Problem> refusalToBegin(Situation situation, ActiveJob active, Collection<ActiveJob> begun) {
        List<WorkerRecord> serving = serving(situation, active.job());
        return serving.isEmpty()
                ? Optional.empty()
                : tooLate(situation.nowNanos(), active, begun, forecast(serving, situation.entries()));
    }

    private List<WorkerRecord> serving(Situation situation, Job job) {
        String service = job.route().service();
        return fleet.all().stream()
                .filter(w -> w.serves(service) && !situation.isOut(w.zone()) && !w.isAvoided(situation.nowNanos()))
                .toList();
    }

    /** A new entry keeps what can wait until its first agents have probably connected, and nothing else. */
    private Optional<Problem> noWorker(long nowNanos, ActiveJob active) {
        long connectingNanos = startedAt + FIRST_AGENTS_NANOS - nowNanos;
        if (!fleet.isForming() || connectingNanos <= 0) {
            return problem(
                    ProblemKind.NO_WORKER, "service=" + active.job().route().service());
        }
        if (active.latestStart() - nowNanos >= connectingNanos) {
            return Optional.empty();
        }
        Duration comeBack = Duration.ofNanos(connectingNanos);
        return Optional.of(Problem.of(ProblemKind.NO_WORKER, "no agent has connected yet", comeBack));
    }

    private static boolean fits(Job job, List<WorkerRecord> serving) {
        return job.steps().stream().allMatch(step -> serving.stream()
                .anyMatch(w -> step.amounts().fitsInto(w.view().capacity())));
    }

    private WaitForecast forecast(List<WorkerRecord> serving, int entries) {
        long free = serving.stream()
                .mapToLong(w -> Math.max(0, w.free().cpuMillis()))
                .sum();
        long total =
                serving.stream().mapToLong(w -> w.view().capacity().cpuMillis()).sum();
        return new WaitForecast(free, total, entries, runTimes.meanMillis());
    }

    private static Optional<Problem> tooLate(
            long nowNanos, ActiveJob active, Collection<ActiveJob> ahead, WaitForecast forecast) {
        long before = ahead.stream().mapToLong(ActiveJob::readyCpuMillis).sum();
        double wait = forecast.waitMillis(before + active.readyCpuMillis());
        double slack = (active.latestStart() - nowNanos) / NANOS_PER_MILLI;
        if (wait <= slack) {
            return Optional.empty();
        }
        String detail = "wait_ms=" + Math.round(wait) + " slack_ms=" + Math.round(slack) + " free_cpu="
                + forecast.freeCpuMillis() + " ahead_cpu=" + before;
        Duration comeBack = Duration.ofMillis(Math.max(1, Math.round(wait - slack)));
        return Optional.of(Problem.of(ProblemKind.OVERLOADED, detail, comeBack));
    }

    private static Optional<Problem> problem(ProblemKind kind, String detail) {
        return Optional.of(Problem.of(kind, detail));
    }
}
