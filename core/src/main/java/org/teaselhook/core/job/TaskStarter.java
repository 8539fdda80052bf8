package org.teaselhook.core.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Starts waiting tasks, job by job in scheduling order, while there is capacity. Confined to the dispatcher's thread.
 */
final class TaskStarter {

    /** The time to read the receive buffers after a pause of this process, in ns. */
    private static final long CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final ActiveJobs jobs;
    private final JobCompletion completion;
    private final WorkerFleet fleet;
    private final WorkerChoice choice;
    private final JobAdmission admission;
    private final RunTimeAverages runTimes;
    private final JobOutput output;
    private final CallerCheck callers;
    private long suspendedUntil = Long.MIN_VALUE;
    private boolean anyDeferred;

    TaskStarter(
            ActiveJobs jobs,
            JobCompletion completion,
            WorkerFleet fleet,
            WorkerChoice choice,
            JobAdmission admission,
            RunTimeAverages runTimes,
            JobOutput output) {
        this.jobs = jobs;
        this.completion = completion;
        this.fleet = fleet;
        this.choice = choice;
        this.admission = admission;
        this.runTimes = runTimes;
        this.output = output;
        this.callers = new CallerCheck(output);
    }

    /** Suspends placement after a pause of this process: callers of buffered jobs may have disconnected. */
    void resumedAfterPause(long nowNanos) {
        suspendedUntil = nowNanos + CATCH_UP_NANOS;
        callers.resumedAfterPause(nowNanos);
    }

    void startWaiting(SchedulingContext context) {
        long nowNanos = context.nowNanos();
        if (suspendedUntil != Long.MIN_VALUE && nowNanos - suspendedUntil < 0) {
            return;
        }
        jobs.newlyLate(nowNanos).forEach(jobs::markLate);
        Map<String, LateCapacity> lateCapacities = new HashMap<>();
        for (ActiveJob active : jobs.waitingInOrder()) {
            if (!active.hasStarted() && nowNanos - active.latestUsefulStart() > 0) {
                continue;
            }
            if (active.isDeferred() && !takeLateCapacity(context, active, lateCapacities)) {
                continue;
            }
            if (!startReadyTasks(context, active)) {
                break;
            }
        }
        if (anyDeferred) {
            anyDeferred = false;
            refuseUnservable(context);
        }
    }

    /** Reserves capacity for a late job. Returns false if late jobs may use no more of its service for now. */
    private boolean takeLateCapacity(
            SchedulingContext context, ActiveJob active, Map<String, LateCapacity> lateCapacities) {
        LateCapacity capacity = lateCapacities.computeIfAbsent(
                active.job().route().service(), service -> admission.lateCapacity(context, active.job()));
        boolean hasRoom = capacity.hasRoomFor(active.readyCpuMillis());
        if (hasRoom) {
            lateCapacities.put(active.job().route().service(), capacity.minus(active.readyCpuMillis()));
        }
        return hasRoom;
    }

    /**
     * Starts the ready tasks of a job. Returns false if there is no room even for an unconstrained task, or the jobs
     * behind must wait until it is known whether the caller of this one has left.
     */
    private boolean startReadyTasks(SchedulingContext context, ActiveJob active) {
        for (JobTask task : active.ready()) {
            if (fleet.isPlaced(task.name())) {
                continue;
            }
            Optional<WorkerRecord> worker = choice.choose(context.nowNanos(), task, fleet.all(), context::isOut);
            if (worker.isEmpty() && !task.isConstrained()) {
                return false;
            }
            if (worker.isEmpty() && fleet.isAvoidedEverywhere(task)) {
                task.clearAvoided();
            }
            if (worker.isPresent()) {
                if (!mayStart(context, active)) {
                    return true;
                }
                CallerCheck.Result caller =
                        callers.check(context.nowNanos(), active.job().id());
                if (caller != CallerCheck.Result.CONNECTED) {
                    return caller == CallerCheck.Result.LEFT;
                }
                start(context, task, worker.get());
            }
        }
        jobs.updateWaiting(active);
        return true;
    }

    /** Tells whether the next task of a job may start, given room for it; if not, the job counts as late. */
    private boolean mayStart(SchedulingContext context, ActiveJob active) {
        if (active.hasStarted()) {
            return true;
        }
        boolean inTime = admission.refusalAtTurn(context, active).isEmpty();
        if (!inTime) {
            jobs.markLate(active);
            anyDeferred = true;
        }
        return inTime;
    }

    /** Refuses the late jobs that can no longer start while their callers wait. */
    void refuseUnservable(SchedulingContext context) {
        admission
                .unservableLateJobs(context)
                .forEach((active, problem) ->
                        completion.abort(context.nowNanos(), active, problem.detail(), new JobResult.NotRun(problem)));
    }

    private void start(SchedulingContext context, JobTask task, WorkerRecord worker) {
        long nowNanos = context.nowNanos();
        ActiveJob active = task.job();
        Job job = active.job();
        if (!active.hasStarted()) {
            jobs.markStarted(active);
            active.recordFirstOrder(nowNanos);
            output.reportDecision(JobDecision.Kind.ACCEPTED, job.id(), "", active.inputs(nowNanos));
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
        Object[] inputs = placement.inputs(nowNanos, context.routes().version());
        completion
                .history()
                .find(task)
                .ifPresentOrElse(
                        before -> output.reportDecision(
                                JobDecision.Kind.TASK_ORDERED_AGAIN,
                                job.id(),
                                task.name(),
                                before.inputsWhenOrderedAgain(nowNanos, placement, inputs)),
                        () -> output.reportDecision(JobDecision.Kind.PLACED, job.id(), task.name(), inputs));
        output.order(run);
    }
}
