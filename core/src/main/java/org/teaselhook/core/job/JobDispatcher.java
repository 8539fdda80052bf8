package org.teaselhook.core.job;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.lease.RunForecast;
import org.teaselhook.core.lease.RunOutcome;
import org.teaselhook.core.lease.RunRefusal;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.route.Routes;

/**
 * Schedules the tasks of jobs on workers and determines the result of each job. Confined to one thread.
 */
public final class JobDispatcher {

    /** The maximum number of moves of a task: a third one would come too late for any objective. */
    private static final int MAX_MOVES = 2;

    /** How long a worker that refused an order is avoided, in ns. */
    private static final long REFUSAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final JobOutput output;
    private final WorkerChoice choice;
    private final RunTimeAverages runTimes = new RunTimeAverages();
    private final WorkerFleet fleet;
    private final JobAdmission admission;
    private final JobPlanner planner = new JobPlanner(runTimes);
    private final ActiveJobs jobs = new ActiveJobs();
    private final JobCompletion completion;
    private final TaskStarter starter;
    private Routes routes = Routes.none();
    private int entries = 1;
    private boolean batching;
    private boolean placementPending;

    private JobDispatcher(String name, String zone, long startedAt, JobOutput output) {
        this.output = Objects.requireNonNull(output, "output is null");
        this.choice = new WorkerChoice(zone);
        this.completion = new JobCompletion(jobs, output);
        this.fleet = new WorkerFleet(name, startedAt);
        this.admission = new JobAdmission(fleet, jobs, runTimes, startedAt);
        this.starter = new TaskStarter(jobs, completion, fleet, choice, admission, runTimes, output);
    }

    // -- factories

    /**
     * Returns a dispatcher without workers.
     *
     * @param name the entry's name
     * @param zone the entry's availability zone
     * @param startedAt when the entry started, in nanoseconds
     * @param output the receiver of orders, answers and decisions
     * @return a new dispatcher
     */
    public static JobDispatcher of(String name, String zone, long startedAt, JobOutput output) {
        Objects.requireNonNull(name, "name is null");
        return new JobDispatcher(name, Objects.requireNonNull(zone, "zone is null"), startedAt, output);
    }

    // -- accessors

    /**
     * Counts the jobs of a route that have not started.
     *
     * @param route the route's name
     * @return the number
     */
    public int queued(String route) {
        return jobs.queued(route);
    }

    /**
     * Counts the jobs in progress.
     *
     * @return the number
     */
    public int size() {
        return jobs.size();
    }

    /**
     * Tells whether a job is in progress.
     *
     * @param jobId the job's id
     * @return true if so
     */
    public boolean isActive(String jobId) {
        return jobs.contains(jobId);
    }

    /**
     * Counts the workers that accept work.
     *
     * @return the number
     */
    public int openWorkers() {
        return fleet.openCount();
    }

    /**
     * Returns the orders in progress at an incarnation of an agent.
     *
     * @param agent the agent's incarnation
     * @return the orders' numbers; empty if the incarnation is unknown
     */
    public List<Long> ordersInProgress(Incarnation agent) {
        return fleet.find(agent)
                .map(worker -> List.copyOf(worker.placements().keySet()))
                .orElse(List.of());
    }

    // -- submitting and cancelling jobs

    /**
     * Submits a job. It is answered exactly once through {@link JobOutput#answer}, possibly before this returns,
     * unless it is cancelled. A copy of a job in progress shares its answer.
     *
     * @param nowNanos the present time
     * @param job the job
     */
    public void submit(long nowNanos, Job job) {
        Optional<JobResult> known = completion.recent(job.id());
        if (known.isPresent() || jobs.contains(job.id())) {
            output.reportDecision(JobDecision.Kind.DUPLICATE, job.id(), "", "answered", known.isPresent());
            known.ifPresent(result -> output.answer(nowNanos, job, result));
            return;
        }
        if (completion.mayHaveRun(job.id())) {
            output.reportDecision(JobDecision.Kind.RESUBMITTED, job.id(), "", "age_ms", ageMillis(nowNanos, job));
        }
        ActiveJob active = planner.plan(job);
        Optional<Problem> refusal = admission.refusalOnArrival(context(nowNanos), active);
        if (refusal.isPresent()) {
            output.reportDecision(
                    JobDecision.Kind.REFUSED,
                    job.id(),
                    "",
                    "reason",
                    refusal.get().detail());
            output.answer(
                    nowNanos, job, completion.accountForEarlierCopies(active, new JobResult.NotRun(refusal.get())));
            return;
        }
        jobs.add(active);
        placeWaiting(nowNanos);
    }

    /**
     * Cancels a job whose caller has disconnected: it gets no answer, and its runs are stopped.
     *
     * @param nowNanos the present time
     * @param jobId the job's id
     */
    public void cancel(long nowNanos, String jobId) {
        ActiveJob active = jobs.find(jobId);
        if (active != null) {
            output.reportDecision(JobDecision.Kind.GIVEN_UP, jobId, "", active.endInputs(nowNanos, "cancelled"));
            completion.remove(active);
            placeWaiting(nowNanos);
        }
    }

    /**
     * Places the tasks that waited until the connections of their callers were read.
     *
     * @param nowNanos the present time
     */
    public void callersRead(long nowNanos) {
        placeWaiting(nowNanos);
    }

    // -- messages of agents

    /**
     * Processes several messages of agents, and places waiting tasks once after all of them. Under load, many runs end
     * within a millisecond, and a placement round for each of them would cost more than the messages themselves.
     *
     * @param nowNanos the present time
     * @param updates calls methods of this dispatcher
     */
    public void batch(long nowNanos, Runnable updates) {
        batching = true;
        try {
            updates.run();
        } finally {
            batching = false;
            if (placementPending) {
                placementPending = false;
                placeWaiting(nowNanos);
            }
        }
    }

    /**
     * Records that an agent has connected. Stops of its orders are repeated, as those sent on an earlier connection may
     * have been lost with it.
     *
     * @param nowNanos the present time
     * @param agent the agent's incarnation
     * @param name the agent's name
     * @param zone its availability zone
     */
    public void agentConnected(long nowNanos, Incarnation agent, String name, String zone) {
        fleet.connect(nowNanos, agent, name, zone).placements().values().stream()
                .filter(this::isBeingStopped)
                .forEach(placement -> output.stop(agent, placement.number()));
    }

    /** Whether the run of an order is no longer wanted: its job has ended, or its task is being moved. */
    private boolean isBeingStopped(Placement placement) {
        JobTask task = placement.task();
        return !jobs.isCurrent(task) || task.avoids(placement.worker().agent());
    }

    /**
     * Records that the connection of an agent is lost. Its runs may go on; the agent reports their state when it
     * reconnects.
     *
     * @param lastContactAt when the last report of the agent was processed or its last heartbeat answered, whichever is
     *     later: from then on, the agent stops the runs if it receives no further answer
     * @param agent the agent's incarnation
     */
    public void agentDisconnected(long lastContactAt, Incarnation agent) {
        fleet.find(agent).ifPresent(worker -> worker.disconnected(lastContactAt));
    }

    /**
     * Processes an agent's report on its worker.
     *
     * @param nowNanos the present time
     * @param agent the agent's incarnation
     * @param view the state of the worker
     */
    public void workerReported(long nowNanos, Incarnation agent, WorkerView view) {
        Optional<WorkerRecord> worker = fleet.find(agent).filter(WorkerRecord::isConnected);
        if (worker.isEmpty()) {
            return;
        }
        boolean wasOpen = worker.get().serves(view.service());
        worker.get().reported(nowNanos, view);
        if (!view.service().isEmpty() && !wasOpen) {
            fleet.workerOpened(nowNanos);
        }
        placeWaiting(nowNanos);
    }

    private void removeLost(long nowNanos, WorkerRecord worker) {
        fleet.remove(worker);
        List.copyOf(worker.placements().values())
                .forEach(p -> endRun(nowNanos, p, RunOutcome.LOST, 0, EndSource.AGENT_SILENT));
    }

    /**
     * Processes the end of a run.
     *
     * @param nowNanos the present time
     * @param number the order's number
     * @param outcome how it ended
     * @param runMillis its run time
     */
    public void runEnded(long nowNanos, long number, RunOutcome outcome, long runMillis) {
        fleet.find(number).ifPresent(placement -> {
            endRun(nowNanos, placement, outcome, runMillis, EndSource.AGENT_ENDED);
            placeWaiting(nowNanos);
        });
    }

    private void endRun(long nowNanos, Placement placement, RunOutcome outcome, long runMillis, EndSource source) {
        fleet.release(placement);
        JobTask task = placement.task();
        EndedOrder ended = recordEnd(nowNanos, placement, source, outcome);
        task.job().markRan();
        if (outcome == RunOutcome.DONE) {
            recordRunTime(nowNanos, placement, runMillis);
        } else {
            String job = task.job().job().id();
            output.reportDecision(JobDecision.Kind.RUN_ENDED, job, task.name(), ended.runInputs(runMillis));
        }
        if (outcome == RunOutcome.FAILED) {
            recordFailure(nowNanos, placement);
        }
        if (jobs.isCurrent(task)) {
            advance(nowNanos, task, outcome);
        }
    }

    private EndedOrder recordEnd(long nowNanos, Placement placement, EndSource source, Enum<?> result) {
        EndedOrder ended = EndedOrder.of(nowNanos, placement, source, result);
        completion.history().ended(placement.task(), ended, jobs.isCurrent(placement.task()));
        return ended;
    }

    private void recordRunTime(long nowNanos, Placement placement, long runMillis) {
        JobTask task = placement.task();
        runTimes.add(task.job().job().route().name(), task.step().estimateMillis(), runMillis);
        if (placement.expectedMillis() > 0) {
            placement.worker().runCompleted(nowNanos, runMillis / placement.expectedMillis());
        }
    }

    private void recordFailure(long nowNanos, Placement placement) {
        placement.task().failed(placement.worker().agent());
        if (placement.worker().runFailed(nowNanos)) {
            String job = placement.task().job().job().id();
            output.reportDecision(
                    JobDecision.Kind.WORKER_AVOIDED,
                    job,
                    "",
                    "worker",
                    placement.worker().name());
        }
    }

    private void advance(long nowNanos, JobTask task, RunOutcome outcome) {
        ActiveJob active = task.job();
        if (outcome == RunOutcome.DONE) {
            task.done();
        } else if (task.failures() >= active.job().route().maxAttempts()) {
            String detail = "task " + task.name() + " failed " + task.failures() + " times";
            completion.abort(nowNanos, active, detail, new JobResult.Failed(detail));
            return;
        }
        if (active.isDone()) {
            output.reportDecision(JobDecision.Kind.COMPLETED, active.job().id(), "", "ms", elapsed(nowNanos, active));
            completion.answer(nowNanos, active, new JobResult.Completed());
        } else {
            jobs.updateWaiting(active);
        }
    }

    /**
     * Processes an agent's refusal of an order: its task was not started and never will be.
     *
     * @param nowNanos the present time
     * @param number the order's number
     * @param refusal the reason
     */
    public void orderRefused(long nowNanos, long number, RunRefusal refusal) {
        fleet.find(number).ifPresent(placement -> handleRefusal(nowNanos, placement, refusal));
    }

    private void handleRefusal(long nowNanos, Placement placement, RunRefusal refusal) {
        JobTask task = placement.task();
        EndedOrder ended = recordEnd(nowNanos, placement, EndSource.of(refusal), refusal);
        String job = task.job().job().id();
        output.reportDecision(JobDecision.Kind.ORDER_REFUSED, job, task.name(), ended.refusalInputs());
        fleet.release(placement);
        if (refusal == RunRefusal.NO_ROOM) {
            placement.worker().markFull();
        } else if (refusal.shouldAvoidWorker()) {
            placement.worker().avoid(nowNanos + REFUSAL_BACKOFF_NANOS);
        }
        if (jobs.isCurrent(task)) {
            jobs.updateWaiting(task.job());
        }
        placeWaiting(nowNanos);
    }

    // -- configuration

    /**
     * Applies the routes and zone states set by the operators.
     *
     * @param nowNanos the present time
     * @param newRoutes the newest version
     */
    public void updateRoutes(long nowNanos, Routes newRoutes) {
        routes = newRoutes;
        placeWaiting(nowNanos);
    }

    /**
     * Sets the number of entries that share the workers.
     *
     * @param count the number, this one included
     */
    public void updateEntryCount(int count) {
        entries = count;
    }

    /**
     * Sets the live entries, as listed by the table service.
     *
     * @param names their names, this entry's among them
     */
    public void updateEntries(Collection<String> names) {
        fleet.updateEntries(List.copyOf(names));
    }

    // -- time

    /**
     * Handles the end of a pause of this process. What is in its receive buffers may be out of date: callers may have
     * disconnected and sent their jobs to another entry. Nothing is placed until the buffers have been read.
     *
     * @param nowNanos the present time
     */
    public void resumedAfterPause(long nowNanos) {
        starter.resumedAfterPause(nowNanos);
    }

    /**
     * Removes workers whose runs have certainly ended, gives up expired jobs and places waiting tasks.
     *
     * @param nowNanos the present time
     */
    public void tick(long nowNanos) {
        fleet.certainlyEnded(nowNanos).forEach(worker -> removeLost(nowNanos, worker));
        jobs.all().forEach(active -> giveUpIfExpired(nowNanos, active));
        starter.refuseUnservable(context(nowNanos));
        placeWaiting(nowNanos);
    }

    private void giveUpIfExpired(long nowNanos, ActiveJob active) {
        if (nowNanos - active.giveUpAt() >= 0) {
            completion.giveUp(nowNanos, active, "not done after " + elapsed(nowNanos, active) + " ms");
        } else if (!active.hasStarted() && nowNanos - active.latestUsefulStart() > 0) {
            completion.giveUp(
                    nowNanos, active, "not begun after " + elapsed(nowNanos, active) + " ms" + describeLoad(active));
        }
    }

    private String describeLoad(ActiveJob active) {
        return " waiting_jobs=" + jobs.waitingInOrder().size() + " free_cpu="
                + fleet.freeCpuMillis(active.job().route().service());
    }

    /**
     * Processes forecasts of runs in progress, and moves runs that would end sooner on another worker.
     *
     * @param nowNanos the present time
     * @param forecasts the forecasts, by order number
     */
    public void progressReported(long nowNanos, Map<Long, RunForecast> forecasts) {
        forecasts.forEach((number, forecast) ->
                fleet.find(number).ifPresent(placement -> moveIfSlow(nowNanos, placement, forecast)));
    }

    private void moveIfSlow(long nowNanos, Placement placement, RunForecast forecast) {
        JobTask task = placement.task();
        WorkerRecord worker = placement.worker();
        double slowness = worker.slowness(nowNanos);
        if (isBeingStopped(placement) || task.moves() >= MAX_MOVES || !Relocation.isWorthwhile(forecast, slowness)) {
            return;
        }
        task.avoid(worker.agent());
        if (choice.choose(nowNanos, task, fleet.all(), routes::isOut).isEmpty()) {
            task.clearAvoided();
            return;
        }
        task.moved();
        String job = task.job().job().id();
        output.reportDecision(
                JobDecision.Kind.MOVED, job, task.name(), Relocation.inputs(forecast, worker.name(), slowness));
        output.stop(worker.agent(), placement.number());
    }

    // -- starting tasks

    private void placeWaiting(long nowNanos) {
        if (batching) {
            placementPending = true;
        } else {
            starter.startWaiting(context(nowNanos));
        }
    }

    private SchedulingContext context(long nowNanos) {
        return new SchedulingContext(nowNanos, routes, entries);
    }

    private static long elapsed(long nowNanos, ActiveJob active) {
        return ageMillis(nowNanos, active.job());
    }

    private static long ageMillis(long nowNanos, Job job) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivedAt());
    }
}
