package org.teaselhook.node.lease;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.lease.ControlThread;
import org.teaselhook.core.lease.EndReport;
import org.teaselhook.core.lease.EntryFailureDetector;
import org.teaselhook.core.lease.OrderId;
import org.teaselhook.core.lease.PollResult;
import org.teaselhook.core.lease.RunId;
import org.teaselhook.core.lease.RunListener;
import org.teaselhook.core.lease.RunOutcome;
import org.teaselhook.core.lease.RunQueue;
import org.teaselhook.core.lease.RunRefusal;
import org.teaselhook.core.lease.RunRequest;
import org.teaselhook.core.lease.WorkerReport;
import org.teaselhook.core.lease.WorkerRuns;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.frame.FrameConnection;
import org.teaselhook.node.route.AmountMessages;
import org.teaselhook.node.settings.SocketAddresses;
import org.teaselhook.wire.RouteDocument;
import org.teaselhook.wire.RoutesWanted;
import org.teaselhook.wire.RunCommand;
import org.teaselhook.wire.RunGreeting;
import org.teaselhook.wire.RunOrder;
import org.teaselhook.wire.RunPulse;
import org.teaselhook.wire.RunReport;
import org.teaselhook.wire.WorkerState;

/**
 * The agent's state: the entries that it serves, and the worker state that it reports to them. Confined to the control
 * thread.
 */
final class LeaseAgentControl implements RunListener {

    /** Delay of state reports, in ns, so that several changes share one: a small fraction of a task's run time. */
    private static final long STATE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** The highest slowdown reported: a worker this slow is of no use, whatever the exact figure. */
    private static final double MAX_SLOWDOWN = 1_000;

    private final String zone;
    private final RunLinks links;
    private final LeaseMetrics metrics;
    private final ReportCache reports = new ReportCache();
    private final EntryFailureDetector failureDetector = EntryFailureDetector.empty();
    private WorkerRuns runs;
    private RunQueue queue;
    private final RouteCache routes = new RouteCache();
    private final Set<Incarnation> awaitingRoutes = new HashSet<>();
    private long now;
    private boolean leaving;

    LeaseAgentControl(String zone, RunLinks links, LeaseMetrics metrics) {
        this.metrics = Objects.requireNonNull(metrics, "metrics is null");
        this.zone = Objects.requireNonNull(zone, "zone is null");
        this.links = Objects.requireNonNull(links, "links is null");
    }

    /** Completes the construction: the runs notify this object, which in turn uses them. */
    void attachRuns(WorkerRuns workerRuns) {
        runs = Objects.requireNonNull(workerRuns, "workerRuns is null");
        queue = RunQueue.of(runs, this);
    }

    // -- accessors

    /** When the next state report is due, {@link Long#MAX_VALUE} if none is. */
    long flushDueAt() {
        return links.stateDueAt();
    }

    boolean isIdle() {
        return runs.size() == 0;
    }

    LeaseMetrics.Status status(long nowNanos) {
        int used = runs.used().cpuMillis();
        int free = runs.availableWorker().isPresent() ? freeCpu() : 0;
        return new LeaseMetrics.Status(
                runs.size(),
                used,
                free,
                links.countLiveEntries(nowNanos),
                runs.availableWorker().isPresent(),
                routes.latestVersion());
    }

    // -- the worker

    void workerReported(WorkerReport report, long nowNanos) {
        now = nowNanos;
        runs.workerReported(nowNanos, report);
    }

    void workerLeft(String workerId, long nowNanos) {
        now = nowNanos;
        runs.workerLeft(nowNanos, workerId);
    }

    // -- entries

    void streamEnded(FrameConnection<RunReport> stream, String reason, long nowNanos) {
        now = nowNanos;
        links.streamEnded(stream, reason, nowNanos);
    }

    /** Handles an entry's commands in order. An invalid command closes its connection and has no other effect. */
    void received(FrameConnection<RunReport> stream, List<RunCommand> commands, long nowNanos) {
        now = nowNanos;
        try {
            commands.forEach(command -> links.findByStream(stream).ifPresent(link -> handle(link, command, nowNanos)));
        } catch (RuntimeException e) {
            LogLine.of("entry-message-invalid")
                    .with("remote", stream.remote())
                    .with("failure", e)
                    .warn();
            links.drop(stream, "invalid message", nowNanos);
        }
    }

    private void handle(RunLink link, RunCommand command, long nowNanos) {
        if (command.hasGreeting()) {
            handleGreeting(link, command.getGreeting(), nowNanos);
            return;
        }
        Optional<Incarnation> entry = link.entry();
        if (entry.isEmpty()) {
            return;
        }
        switch (command.getCommandCase()) {
            case PULSE -> handlePulse(link, command.getPulse(), nowNanos);
            case ORDER -> {
                link.recordOrder(nowNanos);
                handleOrder(entry.get(), command.getOrder(), link.specOf(command.getOrder()), nowNanos);
            }
            case STOP -> handleStop(entry.get(), command.getStop().getOrder(), nowNanos);
            case ROUTES -> storeRoutes(command.getRoutes());
            case ROUTES_WANTED -> handleRouteRequest(link, entry.get(), command.getRoutesWanted(), nowNanos);
            default ->
                LogLine.of("frame-ignored")
                        .with("frame", command.getCommandCase())
                        .warn();
        }
    }

    private void handleGreeting(RunLink link, RunGreeting greeting, long nowNanos) {
        Incarnation entry = Incarnation.of(greeting.getIncarnation());
        link.recordGreeting(entry);
        int stopped = queue.stopReleased(nowNanos, entry, greeting.getInProgressList());
        LogLine.of("entry-connected")
                .with("entry", greeting.getName())
                .with("incarnation", entry)
                .with("orders", greeting.getInProgressCount())
                .with("stopped", stopped)
                .info();
        for (long number : greeting.getInProgressList()) {
            reconcile(link, new OrderId(entry, number));
        }
        sendState(link, true, nowNanos);
    }

    /** Reports the end or refusal of an order that the entry counts as in progress, unless it is pending here. */
    private void reconcile(RunLink link, OrderId order) {
        if (queue.isPending(order)) {
            return;
        }
        RunReport report =
                reports.find(order).orElseGet(() -> LeaseFrames.refusal(order.number(), RunRefusal.NEVER_ARRIVED));
        reports.recordSeen(order);
        link.stream().ifPresent(stream -> stream.send(report));
    }

    private void handlePulse(RunLink link, RunPulse pulse, long nowNanos) {
        link.recordEcho(pulse.getEchoAgentNanos(), pulse.getRoutesVersion(), pulse.getLeaving());
        link.entry().ifPresent(entry -> failureDetector.recordEcho(entry, pulse.getEchoAgentNanos()));
        List<InetSocketAddress> advertised = pulse.getEntriesList().stream()
                .flatMap(text -> SocketAddresses.parse(text).stream())
                .toList();
        links.addAddresses(advertised, nowNanos);
        if (routes.noteVersion(pulse.getRoutesVersion(), Set.copyOf(pulse.getZonesOutList()))) {
            LogLine.of("zones-changed")
                    .with("version", pulse.getRoutesVersion())
                    .with("zones_out", pulse.getZonesOutList())
                    .info();
            workerChanged();
        }
        if (routes.isFetchDue(nowNanos) && link.routesVersion() == routes.latestVersion()) {
            fetchRoutes(link, nowNanos);
        }
    }

    private void fetchRoutes(RunLink link, long nowNanos) {
        routes.fetchStarted(nowNanos);
        link.stream().ifPresent(stream -> stream.send(LeaseFrames.routeRequest(routes.documentVersion())));
    }

    private void storeRoutes(RouteDocument document) {
        routes.store(document);
        Set<Incarnation> awaiting = Set.copyOf(awaitingRoutes);
        awaitingRoutes.clear();
        awaiting.forEach(entry -> links.findByEntry(entry).ifPresent(link -> sendRoutes(link, document)));
    }

    /** Handles the request of an entry that cannot read the store for the routes that other entries sent here. */
    private void handleRouteRequest(RunLink link, Incarnation entry, RoutesWanted wanted, long nowNanos) {
        routes.newerThan(wanted.getHeldVersion()).ifPresent(document -> sendRoutes(link, document));
        if (routes.isOutdated()) {
            awaitingRoutes.add(entry);
            links.all().stream()
                    .filter(other -> other.routesVersion() == routes.latestVersion())
                    .findFirst()
                    .ifPresent(newest -> fetchRoutes(newest, nowNanos));
        }
    }

    private static void sendRoutes(RunLink link, RouteDocument document) {
        link.stream().ifPresent(stream -> stream.send(LeaseFrames.routes(document)));
    }

    private void handleOrder(Incarnation entry, RunOrder order, String spec, long nowNanos) {
        OrderId id = new OrderId(entry, order.getOrder());
        if (reports.hasSeen(id)) {
            // A greeting on a newer connection has overtaken it, and it was reported as never arrived.
            LogLine.of("order-overtaken")
                    .with("task", order.getTask())
                    .with("entry", entry)
                    .with("order", id.number())
                    .warn();
            return;
        }
        reports.recordSeen(id);
        RunRequest request = new RunRequest(
                id,
                new RunId(order.getTask(), order.getRun()),
                order.getService(),
                spec,
                AmountMessages.fromMessage(order.getAmounts()),
                order.getEstimateMillis(),
                Math.min(order.getStartByAgentNanos(), EntryFailureDetector.latestStart(order.getEchoAgentNanos())));
        Optional<RunRefusal> refusal = refusal(order, nowNanos);
        if (refusal.isPresent()) {
            refused(request, refusal.get(), EndReport.notCalled(request));
        } else {
            failureDetector.recordEcho(entry, order.getEchoAgentNanos());
            if (queue.order(nowNanos, request)) {
                logLine("order-waits", request).with("free_cpu", freeCpu()).info();
            }
            freeCapacityChanged();
        }
    }

    private Optional<RunRefusal> refusal(RunOrder order, long nowNanos) {
        if (EntryFailureDetector.isStale(order.getEchoAgentNanos(), nowNanos)) {
            return Optional.of(RunRefusal.STALE_ENTRY);
        }
        if (routes.isZoneOut(zone)) {
            return Optional.of(RunRefusal.ZONE_OUT);
        }
        return leaving ? Optional.of(RunRefusal.NO_WORKER) : Optional.empty();
    }

    private void handleStop(Incarnation entry, long number, long nowNanos) {
        LogLine.of("stop-received").with("entry", entry).with("order", number).debug();
        queue.stop(nowNanos, new OrderId(entry, number));
    }

    // -- ends and refusals of orders

    @Override
    public void ended(RunRequest request, RunOutcome outcome, long runMillis, EndReport report) {
        metrics.recordRun(outcome, runMillis);
        metrics.recordEnd(report.evidence());
        LogLine line =
                endLine("run-ended", request, report).with("outcome", outcome).with("ms", runMillis);
        if (outcome == RunOutcome.DONE) {
            line.info();
        } else {
            line.warn();
        }
        sendFinalReport(request.order(), LeaseFrames.end(request.order().number(), outcome, runMillis));
    }

    @Override
    public void refused(RunRequest request, RunRefusal refusal, EndReport report) {
        metrics.recordRefusal(refusal);
        metrics.recordEnd(report.evidence());
        endLine("order-refused", request, report)
                .with("reason", refusal)
                .with("free_cpu", freeCpu())
                .with("routes_version", routes.latestVersion())
                .warn();
        sendFinalReport(request.order(), LeaseFrames.refusal(request.order().number(), refusal));
    }

    private int freeCpu() {
        return runs.availableWorker()
                        .map(worker -> worker.capacity().cpuMillis())
                        .orElse(0)
                - runs.used().cpuMillis();
    }

    static LogLine endLine(String event, RunRequest request, EndReport report) {
        return logLine(event, request)
                .with("run", report.run().number())
                .with("evidence", report.evidence().text())
                .withAll(report.details());
    }

    private static LogLine logLine(String event, RunRequest request) {
        return LogLine.of(event)
                .with("task", request.run().task())
                .with("entry", request.order().entry())
                .with("order", request.order().number());
    }

    private void sendFinalReport(OrderId order, RunReport report) {
        reports.put(order, report);
        links.findByEntry(order.entry()).ifPresent(link -> {
            link.stream().ifPresent(stream -> stream.send(report));
            link.scheduleState(now);
        });
    }

    /**
     * Schedules state reports. The entry whose run started or ended is already aware of it, or learns of it from the
     * report of its end. Other entries with recent orders are informed at a rate that does not grow with their number;
     * entries without recent orders are informed by heartbeats.
     */
    @Override
    public void freeCapacityChanged() {
        queue.freeCapacityChanged();
        List<RunLink> recent =
                links.all().stream().filter(link -> link.hasRecentOrder(now)).toList();
        long interval = StateReportIntervals.reportInterval(recent.size(), links.countLiveEntries(now));
        recent.forEach(link -> link.scheduleState(Math.max(now + STATE_DELAY_NANOS, link.lastStateAt() + interval)));
    }

    @Override
    public void workerChanged() {
        queue.freeCapacityChanged();
        links.all().forEach(link -> link.scheduleState(now + STATE_DELAY_NANOS));
    }

    // -- state reports

    /** Sends the state reports that are due. */
    void flush(long nowNanos) {
        now = nowNanos;
        for (RunLink link : links.all()) {
            if (link.stateDueAt() <= nowNanos) {
                sendState(link, false, nowNanos);
            }
        }
    }

    /** Sends the heartbeats that are due: state reports that the entries echo. */
    void sendHeartbeats(long nowNanos) {
        now = nowNanos;
        for (RunLink link : links.all()) {
            long interval = StateReportIntervals.heartbeatInterval(link.hasRecentOrder(nowNanos));
            if (nowNanos - link.lastHeartbeatAt() >= interval) {
                link.recordHeartbeat(nowNanos);
                sendState(link, true, nowNanos);
            }
        }
    }

    private void sendState(RunLink link, boolean heartbeat, long nowNanos) {
        link.recordStateSent(nowNanos);
        if (link.entry().isEmpty() || link.stream().isEmpty()) {
            return;
        }
        Optional<WorkerReport> available = leaving ? Optional.empty() : runs.availableWorker();
        WorkerState.Builder state = WorkerState.newBuilder()
                .setAgentNanos(nowNanos)
                .setRoutesVersion(routes.latestVersion())
                .setSeenOrder(reports.highestSeenOrder(link.entry().get()))
                .setEntries(links.countLiveEntries(nowNanos))
                .setHeartbeat(heartbeat);
        available.ifPresent(worker -> state.setService(worker.service())
                .setCapacity(AmountMessages.toMessage(worker.capacity()))
                .setUsed(AmountMessages.toMessage(queue.used()))
                .addAllLabels(worker.labels()));
        runs.slowdown()
                .ifPresent(slowdown -> state.setPacePercent((int) Math.round(Math.min(slowdown, MAX_SLOWDOWN) * 100)));
        if (heartbeat) {
            runs.forecasts(link.entry().get())
                    .forEach((order, forecast) -> state.addProgress(LeaseFrames.progress(order, forecast)));
        }
        link.stream().get().send(LeaseFrames.state(state));
    }

    // -- time and stopping

    /** When the queue of waiting orders is due to be checked, {@link Long#MAX_VALUE} if it is not. */
    long queueDueAt() {
        return queue.nextTickAt();
    }

    void tickQueue(long nowNanos) {
        now = nowNanos;
        queue.tick(nowNanos);
    }

    void tick(long nowNanos) {
        now = nowNanos;
        links.tick(nowNanos);
    }

    /** When the entries are due to be checked for silence, {@link Long#MAX_VALUE} if none is known. */
    long silenceCheckDueAt() {
        return failureDetector.checkDueAt();
    }

    /**
     * Returns a control thread that stops the runs of silent entries before it handles the result of a poll, as the
     * next poll renews the leases of all runs.
     */
    ControlThread stoppingRunsOfSilentEntries(ControlThread control) {
        return new ControlThread() {

            @Override
            public <T> void handle(CompletionStage<T> stage, BiConsumer<Long, T> handler) {
                control.handle(stage, (nowNanos, result) -> {
                    if (result instanceof PollResult && silenceCheckDueAt() <= nowNanos) {
                        stopRunsOfSilentEntries(nowNanos);
                    }
                    handler.accept(nowNanos, result);
                });
            }
        };
    }

    void stopRunsOfSilentEntries(long nowNanos) {
        now = nowNanos;
        // This thread may have been stalled; leases must not be renewed as of a time after the time-out.
        long timedOutAt = Math.min(nowNanos, silenceCheckDueAt());
        for (Incarnation entry : failureDetector.removeTimedOut(nowNanos)) {
            int stopped = queue.stopAll(timedOutAt, entry);
            LogLine.of("entry-silent")
                    .with("entry", entry)
                    .with("stopped", stopped)
                    .warn();
        }
    }

    void leave(long nowNanos) {
        now = nowNanos;
        leaving = true;
        LogLine.of("agent-leaving").with("runs", runs.size()).info();
        workerChanged();
    }

    /**
     * Closes every connection after a pause of this process, as buffered messages may be out of date, and stops the
     * runs of entries that were silent for too long, before their leases are renewed.
     */
    void resumedAfterPause(long nowNanos) {
        now = nowNanos;
        links.dropAll(nowNanos, "the process was paused, or the wall clock was set");
        stopRunsOfSilentEntries(nowNanos);
    }
}
