package org.teaselhook.core.job;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.outcome.Problem;

/**
 * Starts the tasks that wait, job by job in turn, as long as there is room. Confined to the dispatcher's thread.
 */
final class TaskStarter {

    /** How long it takes to read what has gathered while this process stood still, in ns. */
    private static final long CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final ActiveJobs jobs;
    private final JobEnds ends;
    private final WorkerFleet fleet;
    private final WorkerChoice choice;
    private final JobAdmission admission;
    private final RunTimes runTimes;
    private final JobOutput output;
    private long startNothingUntil = Long.MIN_VALUE;

    TaskStarter(
            ActiveJobs jobs,
            JobEnds ends,
            WorkerFleet fleet,
            WorkerChoice choice,
            JobAdmission admission,
            RunTimes runTimes,
            JobOutput output) {
        this.jobs = jobs;
        this.ends = ends;
        this.fleet = fleet;
        this.choice = choice;
        this.admission = admission;
        this.runTimes = runTimes;
        this.output = output;
    }

    /** Notes that this process stood still: callers of jobs read from its buffers now may have gone elsewhere. */
    void resumedAfterPause(long nowNanos) {
        startNothingUntil = nowNanos + CATCH_UP_NANOS;
    }

    void startWaiting(Situation situation) {
        long nowNanos = situation.nowNanos();
        if (startNothingUntil != Long.MIN_VALUE && nowNanos - startNothingUntil < 0) {
            return;
        }
        for (ActiveJob active : jobs.inTurn()) {
            if (!active.hasBegun() && nowNanos - active.latestStart() > 0) {
                continue;
            }
            if (!startAll(situation, active)) {
                return;
            }
        }
    }

    /** Starts the ready tasks of a job. Returns false if what is free does not even cover an ordinary task. */
    private boolean startAll(Situation situation, ActiveJob active) {
        for (JobTask task : active.ready()) {
            if (fleet.isPlaced(task.name())) {
                continue;
            }
            Optional<WorkerRecord> worker = choice.choose(situation.nowNanos(), task, fleet.all(), situation::isOut);
            if (worker.isEmpty() && !task.isConstrained()) {
                return false;
            }
            if (worker.isEmpty() && fleet.isAvoidedEverywhere(task)) {
                task.avoidNone();
            }
            if (worker.isPresent()) {
                if (!mayBegin(situation, active)) {
                    return true;
                }
                start(situation, task, worker.get());
            }
        }
        jobs.refresh(active);
        return true;
    }

    /** Tells whether the next task of a job may start, now that there is room for it. */
    private boolean mayBegin(Situation situation, ActiveJob active) {
        if (active.hasBegun()) {
            return true;
        }
        Optional<Problem> refusal = admission.refusalToBegin(situation, active, jobs.begunBefore(active));
        refusal.ifPresent(
                problem -> ends.end(situation.nowNanos(), active, problem.detail(), new JobResult.NotRun(problem)));
        return refusal.isEmpty();
    }

    private void start(Situation situation, JobTask task, WorkerRecord worker) {
        long nowNanos = situation.nowNanos();
        ActiveJob active = task.job();
        Job job = active.job();
        if (!active.hasBegun()) {
            jobs.begin(active);
            output.decided(JobDecision.Kind.ACCEPTED, job.id(), "", active.inputs(nowNanos));
        }
        double expected =
                task.step().estimateMillis() * runTimes.ratio(job.route().name());
        int runNumber = task.nextRun();
        Placement placement = fleet.place(nowNanos, task, worker, expected);
        PlacedRun run = new PlacedRun(
                placement.number(),
                worker.agent(),
                task.name(),
                runNumber,
                job.route().service(),
                job.spec(),
                task.step().amounts(),
                Math.round(expected),
                active.giveUpAt());
        Object[] inputs = placement.inputs(nowNanos, situation.routes().version());
        output.decided(JobDecision.Kind.PLACED, job.id(), task.name(), inputs);
        output.order(run);
    }
}
