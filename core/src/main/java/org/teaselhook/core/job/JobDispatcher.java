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
 * Decides which task of which job starts on which worker, and what becomes of each job. Confined to one thread.
 */
public final class JobDispatcher {

    /** How often a task is moved: a third try would come too late for any objective. */
    private static final int MAX_MOVES = 2;

    /** How long a worker that turned a start down is left alone, in ns. */
    private static final long TURNED_DOWN_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final JobOutput output;
    private final WorkerChoice choice;
    private final RunTimes runTimes = new RunTimes();
    private final WorkerFleet fleet;
    private final JobAdmission admission;
    private final JobPlanner planner = new JobPlanner(runTimes);
    private final ActiveJobs jobs = new ActiveJobs();
    private final JobEnds ends;
    private final TaskStarter starter;
    private Routes routes = Routes.none();
    private int entries = 1;
    private boolean gathering;
    private boolean placementDue;

    private JobDispatcher(String name, String zone, long startedAt, JobOutput output) {
        this.output = Objects.requireNonNull(output, "output is null");
        this.choice = new WorkerChoice(zone);
        this.ends = new JobEnds(jobs, output);
        this.fleet = new WorkerFleet(name);
        this.admission = new JobAdmission(fleet, runTimes, startedAt);
        this.starter = new TaskStarter(jobs, ends, fleet, choice, admission, runTimes, output);
    }

    // -- factories

    /**
     * Returns a dispatcher without workers.
     *
     * @param name the entry's name
     * @param zone the entry's availability zone
     * @param startedAt when the entry started, in nanoseconds
     * @param output where decisions go
     * @return a new dispatcher
     */
    public static JobDispatcher of(String name, String zone, long startedAt, JobOutput output) {
        Objects.requireNonNull(name, "name is null");
        return new JobDispatcher(name, Objects.requireNonNull(zone, "zone is null"), startedAt, output);
    }

    // -- accessors

    /**
     * Counts the jobs of a route that no worker has begun.
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
     * Counts the workers that take work.
     *
     * @return the number
     */
    public int openWorkers() {
        return fleet.open();
    }

    /**
     * Returns the orders in progress at a run of an agent.
     *
     * @param agent the run of the agent
     * @return the orders' numbers
     */
    public List<Long> ordersAt(Incarnation agent) {
        return fleet.find(agent)
                .map(worker -> List.copyOf(worker.placements().keySet()))
                .orElse(List.of());
    }

    // -- jobs

    /**
     * Takes a job, which is answered once through {@link JobOutput#answered}, possibly at once, unless it is cancelled.
     * A copy of a job in progress is answered with it.
     *
     * @param nowNanos the present time
     * @param job the job
     */
    public void submit(long nowNanos, Job job) {
        Optional<JobResult> known = ends.recent(job.id());
        if (known.isPresent() || jobs.contains(job.id())) {
            output.decided(JobDecision.Kind.DUPLICATE, job.id(), "", "answered", known.isPresent());
            known.ifPresent(result -> output.answered(nowNanos, job, result));
            return;
        }
        ActiveJob active = planner.plan(job);
        Optional<Problem> refusal = admission.refusal(situation(nowNanos), active, jobs.ahead(active));
        if (refusal.isPresent()) {
            output.decided(
                    JobDecision.Kind.REFUSED,
                    job.id(),
                    "",
                    "reason",
                    refusal.get().detail());
            output.answered(nowNanos, job, ends.truthOf(active, new JobResult.NotRun(refusal.get())));
            return;
        }
        jobs.add(active);
        drain(nowNanos);
    }

    /**
     * Cancels a job because its caller has gone: it gets no answer, and what runs is stopped.
     *
     * @param nowNanos the present time
     * @param jobId the job's id
     */
    public void cancel(long nowNanos, String jobId) {
        ActiveJob active = jobs.find(jobId);
        if (active != null) {
            output.decided(JobDecision.Kind.GIVEN_UP, jobId, "", "reason", "cancelled");
            ends.remove(active);
            drain(nowNanos);
        }
    }

    // -- agents

    /**
     * Takes several words of agents, and places waiting tasks once for all of them. Answers load at which many runs end
     * within a millisecond: a search of the fleet for each of them would cost more than the runs' messages.
     *
     * @param nowNanos the present time
     * @param words calls methods of this dispatcher
     */
    public void together(long nowNanos, Runnable words) {
        gathering = true;
        try {
            words.run();
        } finally {
            gathering = false;
            if (placementDue) {
                placementDue = false;
                drain(nowNanos);
            }
        }
    }

    /**
     * Notes a connection of an agent.
     *
     * @param nowNanos the present time
     * @param agent the run of the agent
     * @param name the agent's name
     * @param zone its availability zone
     */
    public void connected(long nowNanos, Incarnation agent, String name, String zone) {
        fleet.connect(nowNanos, agent, name, zone);
    }

    /**
     * Notes that the connection of an agent is lost. What it runs is over or not, as it will tell when it is back.
     *
     * @param nowNanos the present time
     * @param agent the run of the agent
     */
    public void disconnected(long nowNanos, Incarnation agent) {
        fleet.find(agent).ifPresent(WorkerRecord::disconnected);
    }

    /**
     * Takes an agent's word of its worker.
     *
     * @param nowNanos the present time
     * @param agent the run of the agent
     * @param view the worker
     */
    public void heard(long nowNanos, Incarnation agent, WorkerView view) {
        Optional<WorkerRecord> worker = fleet.find(agent).filter(WorkerRecord::isConnected);
        if (worker.isEmpty()) {
            return;
        }
        worker.get().heard(nowNanos, view);
        if (!view.service().isEmpty()) {
            fleet.opened();
            fleet.earlierRuns(worker.get()).forEach(earlier -> gone(nowNanos, earlier));
        }
        drain(nowNanos);
    }

    private void gone(long nowNanos, WorkerRecord worker) {
        fleet.remove(worker);
        List.copyOf(worker.placements().values()).forEach(p -> ended(nowNanos, p, RunOutcome.LOST, 0));
    }

    /**
     * Takes the end of a run.
     *
     * @param nowNanos the present time
     * @param number the order's number
     * @param outcome how it ended
     * @param runMillis how long it ran
     */
    public void ended(long nowNanos, long number, RunOutcome outcome, long runMillis) {
        fleet.find(number).ifPresent(placement -> {
            ended(nowNanos, placement, outcome, runMillis);
            drain(nowNanos);
        });
    }

    private void ended(long nowNanos, Placement placement, RunOutcome outcome, long runMillis) {
        fleet.release(placement);
        JobTask task = placement.task();
        task.job().ran();
        if (outcome == RunOutcome.DONE) {
            learn(nowNanos, placement, runMillis);
        } else {
            Object[] inputs = {"outcome", outcome, "worker", placement.worker().name(), "run_ms", runMillis};
            output.decided(JobDecision.Kind.RUN_ENDED, task.job().job().id(), task.name(), inputs);
        }
        if (outcome == RunOutcome.FAILED) {
            failed(nowNanos, placement);
        }
        if (jobs.isCurrent(task)) {
            progress(nowNanos, task, outcome);
        }
    }

    private void learn(long nowNanos, Placement placement, long runMillis) {
        JobTask task = placement.task();
        runTimes.ran(task.job().job().route().name(), task.step().estimateMillis(), runMillis);
        if (placement.expectedMillis() > 0) {
            placement.worker().ran(nowNanos, runMillis / placement.expectedMillis());
        }
    }

    private void failed(long nowNanos, Placement placement) {
        placement.task().failed(placement.worker().agent());
        if (placement.worker().failed(nowNanos)) {
            String job = placement.task().job().job().id();
            output.decided(
                    JobDecision.Kind.WORKER_AVOIDED,
                    job,
                    "",
                    "worker",
                    placement.worker().name());
        }
    }

    private void progress(long nowNanos, JobTask task, RunOutcome outcome) {
        ActiveJob active = task.job();
        if (outcome == RunOutcome.DONE) {
            task.done();
        } else if (task.failures() >= active.job().route().maxAttempts()) {
            String detail = "task " + task.name() + " failed " + task.failures() + " times";
            ends.end(nowNanos, active, detail, new JobResult.Failed(detail));
            return;
        }
        if (active.isDone()) {
            output.decided(JobDecision.Kind.COMPLETED, active.job().id(), "", "ms", elapsed(nowNanos, active));
            ends.finish(nowNanos, active, new JobResult.Completed());
        } else {
            jobs.refresh(active);
        }
    }

    /**
     * Takes an agent's word that an order was not carried out and never will be.
     *
     * @param nowNanos the present time
     * @param number the order's number
     * @param refusal the reason
     */
    public void refused(long nowNanos, long number, RunRefusal refusal) {
        fleet.find(number).ifPresent(placement -> refused(nowNanos, placement, refusal));
    }

    private void refused(long nowNanos, Placement placement, RunRefusal refusal) {
        JobTask task = placement.task();
        output.decided(
                JobDecision.Kind.ORDER_REFUSED,
                task.job().job().id(),
                task.name(),
                "reason",
                refusal,
                "worker",
                placement.worker().name());
        fleet.release(placement);
        if (refusal == RunRefusal.NO_ROOM) {
            placement.worker().full();
        } else if (refusal.isOfWorker()) {
            placement.worker().avoid(nowNanos + TURNED_DOWN_NANOS);
        }
        if (jobs.isCurrent(task)) {
            jobs.refresh(task.job());
        }
        drain(nowNanos);
    }

    // -- configuration

    /**
     * Takes the operators' decisions over.
     *
     * @param nowNanos the present time
     * @param newRoutes the newest known
     */
    public void routes(long nowNanos, Routes newRoutes) {
        routes = newRoutes;
        drain(nowNanos);
    }

    /**
     * Notes how many entries share the workers.
     *
     * @param count the number, this one included
     */
    public void entries(int count) {
        entries = count;
    }

    /**
     * Notes which entries are live, as the table service lists them.
     *
     * @param names their names, this entry's among them
     */
    public void entries(Collection<String> names) {
        fleet.entries(List.copyOf(names));
    }

    // -- time

    /**
     * Notes that this process stood still: what is read from its buffers now may be out of date, and the callers of
     * jobs among it may have gone and sent them elsewhere. Nothing is placed until that was read as well.
     *
     * @param nowNanos the present time
     */
    public void resumedAfterPause(long nowNanos) {
        starter.resumedAfterPause(nowNanos);
    }

    /**
     * Does what has fallen due.
     *
     * @param nowNanos the present time
     */
    public void tick(long nowNanos) {
        fleet.surelyOver(nowNanos).forEach(worker -> gone(nowNanos, worker));
        jobs.all().forEach(active -> giveUpIfUseless(nowNanos, active));
        drain(nowNanos);
    }

    private void giveUpIfUseless(long nowNanos, ActiveJob active) {
        if (nowNanos - active.giveUpAt() >= 0) {
            ends.giveUp(nowNanos, active, "not done after " + elapsed(nowNanos, active) + " ms");
        } else if (!active.hasBegun() && nowNanos - active.latestStart() > 0) {
            ends.giveUp(nowNanos, active, "not begun after " + elapsed(nowNanos, active) + " ms" + loadOf(active));
        }
    }

    private String loadOf(ActiveJob active) {
        return " waiting_jobs=" + jobs.inTurn().size() + " free_cpu="
                + fleet.freeCpuMillis(active.job().route().service());
    }

    /**
     * Takes what the progress of runs foretells, and moves those that end sooner elsewhere.
     *
     * @param nowNanos the present time
     * @param forecasts the forecasts by order number
     */
    public void progress(long nowNanos, Map<Long, RunForecast> forecasts) {
        forecasts.forEach((number, forecast) ->
                fleet.find(number).ifPresent(placement -> moveIfSlow(nowNanos, placement, forecast)));
    }

    private void moveIfSlow(long nowNanos, Placement placement, RunForecast forecast) {
        JobTask task = placement.task();
        WorkerRecord worker = placement.worker();
        double slowness = worker.slowness(nowNanos);
        boolean moving = task.avoids(worker.agent());
        if (moving || !jobs.isCurrent(task) || task.moves() >= MAX_MOVES || !Relocation.pays(forecast, slowness)) {
            return;
        }
        task.avoid(worker.agent());
        if (choice.choose(nowNanos, task, fleet.all(), routes::isOut).isEmpty()) {
            task.avoidNone();
            return;
        }
        task.moved();
        String job = task.job().job().id();
        output.decided(JobDecision.Kind.MOVED, job, task.name(), Relocation.inputs(forecast, worker.name(), slowness));
        output.stop(worker.agent(), placement.number());
    }

    // -- starting tasks

    private void drain(long nowNanos) {
        if (gathering) {
            placementDue = true;
        } else {
            starter.startWaiting(situation(nowNanos));
        }
    }

    private Situation situation(long nowNanos) {
        return new Situation(nowNanos, routes, entries);
    }

    private static long elapsed(long nowNanos, ActiveJob active) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - active.job().arrivedAt());
    }
}
