package org.teaselhook.node.job;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.job.Job;
import org.teaselhook.core.job.JobDecision;
import org.teaselhook.core.job.JobDispatcher;
import org.teaselhook.core.job.JobOutput;
import org.teaselhook.core.job.JobResult;
import org.teaselhook.core.job.PlacedRun;
import org.teaselhook.core.route.Route;
import org.teaselhook.core.route.Routes;
import org.teaselhook.net.log.LogLine;

/**
 * The entry's state: its callers, agents and jobs. Confined to the control thread.
 */
final class JobEntryControl implements JobOutput {

    private final JobDispatcher dispatcher;
    private final RunSessions sessions;
    private final JobCallers callers = new JobCallers();
    private final CallerReads callerReads;
    private final CallerExits callerExits;
    private final LongSupplier clock;
    private final JobMetrics metrics;
    private Routes routes = Routes.none();
    private long lastRoutesReadAt;

    JobEntryControl(
            String name,
            String zone,
            Incarnation entry,
            Supplier<List<String>> entries,
            CallerReads callerReads,
            CallerExits callerExits,
            LongSupplier clock,
            JobMetrics metrics) {
        this.dispatcher = JobDispatcher.of(name, zone, clock.getAsLong(), this);
        this.sessions = new RunSessions(name, entry, dispatcher, () -> routes, entries, this::updateRoutes);
        this.callerReads = callerReads;
        this.callerExits = callerExits;
        this.clock = clock;
        this.metrics = metrics;
    }

    // -- accessors

    RunSessions sessions() {
        return sessions;
    }

    Routes routes() {
        return routes;
    }

    int activeJobs() {
        return dispatcher.size();
    }

    int openWorkers() {
        return dispatcher.openWorkers();
    }

    boolean isActive(String jobId) {
        return dispatcher.isActive(jobId);
    }

    int queued(Route route) {
        return dispatcher.queued(route.name());
    }

    JobMetrics.Status status(long nowNanos, double shedShare) {
        int queued = routes.routes().stream()
                .mapToInt(route -> dispatcher.queued(route.name()))
                .sum();
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastRoutesReadAt);
        return new JobMetrics.Status(activeJobs(), openWorkers(), queued, routes.configVersion(), ageMillis, shedShare);
    }

    // -- jobs

    /** Submits a job, unless its caller has left: the end of its connection may have been handled before. */
    void submit(Job job, JobCaller caller, long nowNanos) {
        if (caller.isConnected()) {
            callers.add(job.id(), caller);
            dispatcher.submit(nowNanos, job);
        }
    }

    /** Removes a caller whose connection has closed, and cancels the job if no other caller waits for it. */
    void callerDisconnected(String jobId, JobCaller caller, long nowNanos) {
        if (callers.remove(jobId, caller)) {
            dispatcher.cancel(nowNanos, jobId);
        }
    }

    /** Places what waited until the callers' connections were read. */
    void callersRead(long nowNanos) {
        dispatcher.callersRead(nowNanos);
    }

    boolean cancel(String jobId, long nowNanos) {
        boolean active = dispatcher.isActive(jobId);
        dispatcher.cancel(nowNanos, jobId);
        callers.answer(jobId, new JobResult.GivenUp("cancelled"));
        return active;
    }

    @Override
    public void order(PlacedRun run) {
        sessions.sendOrder(run);
    }

    @Override
    public void stop(Incarnation agent, long number) {
        sessions.sendStop(agent, number);
    }

    @Override
    public void answer(long nowNanos, Job job, JobResult result) {
        metrics.recordAnswer(job.route().name(), result, (nowNanos - job.arrivedAt()) / 1e9);
        callers.answer(job.id(), result);
    }

    @Override
    public OptionalLong callerSeenAt(String jobId) {
        return callers.seenAt(jobId, callerReads.readAt());
    }

    @Override
    public void readCallers() {
        callerReads.start();
    }

    @Override
    public void reportDecision(JobDecision decision) {
        metrics.recordDecision(decision);
        LogLine line = LogLine.of(decision.kind().event()).with("job", decision.job());
        if (!decision.task().isEmpty()) {
            line = line.with("task", decision.task());
        }
        line = line.withAll(decision.inputs());
        if (decision.kind().isRoutine()) {
            line.info();
        } else {
            line.warn();
        }
    }

    // -- routes and entries

    /** Applies routes that were read from the store. */
    void routesRead(Routes offered) {
        lastRoutesReadAt = clock.getAsLong();
        updateRoutes(offered);
    }

    /** Applies routes from the store or an agent, if they are newer than those held. */
    void updateRoutes(Routes offered) {
        Routes next = routes.newer(offered);
        if (next != routes) {
            routes = next;
            sessions.routesChanged();
            LogLine.of("routes-applied")
                    .with("version", next.version())
                    .with("config", next.configVersion())
                    .with("routes", next.routes().size())
                    .with("zones_out", next.zonesOut())
                    .info();
            dispatcher.updateRoutes(clock.getAsLong(), next);
        }
    }

    /** Updates the names of the live entries, as listed in the table service. */
    void updateEntries(List<String> names) {
        dispatcher.updateEntries(names);
    }

    // -- time

    void tick(long nowNanos) {
        callerExits.handleAll();
        sessions.dropTimedOut(nowNanos);
        dispatcher.tick(nowNanos);
    }

    /** Returns why the entry is not ready, empty if it is. */
    Optional<String> unreadyReason() {
        if (!routes.isKnown()) {
            return Optional.of("no routes were read yet");
        }
        return openWorkers() == 0 ? Optional.of("no worker takes work") : Optional.empty();
    }

    void resumedAfterPause(long nowNanos) {
        dispatcher.resumedAfterPause(nowNanos);
    }

    void leave() {
        sessions.leave();
    }
}
