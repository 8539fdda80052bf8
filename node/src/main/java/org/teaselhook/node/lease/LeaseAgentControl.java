package org.teaselhook.node.lease;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.lease.EntryWatch;
import org.teaselhook.core.lease.OrderId;
import org.teaselhook.core.lease.RunEvents;
import org.teaselhook.core.lease.RunId;
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
 * The agent's state: which entries it serves, and what it tells them of its worker. Confined to the control thread.
 */
final class LeaseAgentControl implements RunEvents {

    /** How long changes of the worker's state are gathered before entries are told, in ns: a fraction of a task. */
    private static final long GATHER_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** The greatest pace told: a worker this slow is of no use, whatever the exact figure. */
    private static final double MAX_PACE = 1_000;

    private final String zone;
    private final RunLinks links;
    private final LeaseMetrics metrics;
    private final KeptReports answers = new KeptReports();
    private final EntryWatch watch = EntryWatch.empty();
    private WorkerRuns runs;
    private RunQueue queue;
    private final RouteCopy routes = new RouteCopy();
    private final Set<Incarnation> routesWantedBy = new HashSet<>();
    private long now;
    private boolean leaving;

    LeaseAgentControl(String zone, RunLinks links, LeaseMetrics metrics) {
        this.metrics = Objects.requireNonNull(metrics, "metrics is null");
        this.zone = Objects.requireNonNull(zone, "zone is null");
        this.links = Objects.requireNonNull(links, "links is null");
    }

    void connect(WorkerRuns workerRuns) {
        runs = Objects.requireNonNull(workerRuns, "workerRuns is null");
        queue = RunQueue.of(runs, this);
    }

    // -- accessors

    /** When some entry is to be told the worker's state. */
    long flushAt() {
        return links.stateDueAt();
    }

    boolean isIdle() {
        return runs.size() == 0;
    }

    LeaseMetrics.Status status(long nowNanos) {
        int used = runs.used().cpuMillis();
        int free = runs.open().isPresent() ? freeCpu() : 0;
        return new LeaseMetrics.Status(
                runs.size(), used, free, links.heard(nowNanos), runs.open().isPresent(), routes.version());
    }

    // -- the worker

    void reported(WorkerReport report, long nowNanos) {
        now = nowNanos;
        runs.reported(nowNanos, report);
    }

    void left(String workerId, long nowNanos) {
        now = nowNanos;
        runs.left(nowNanos, workerId);
    }

    // -- entries

    void ended(FrameConnection<RunReport> stream, String reason, long nowNanos) {
        now = nowNanos;
        links.ended(stream, reason, nowNanos);
    }

    /** Takes what an entry sent, in order. A command that makes no sense ends its connection, and nothing else. */
    void received(FrameConnection<RunReport> stream, List<RunCommand> commands, long nowNanos) {
        now = nowNanos;
        try {
            commands.forEach(command -> links.on(stream).ifPresent(link -> received(link, command, nowNanos)));
        } catch (RuntimeException e) {
            LogLine.of("entry-message-invalid")
                    .with("remote", stream.remote())
                    .with("failure", e)
                    .warn();
            links.drop(stream, "invalid message", nowNanos);
        }
    }

    private void received(RunLink link, RunCommand command, long nowNanos) {
        if (command.hasGreeting()) {
            greeted(link, command.getGreeting(), nowNanos);
            return;
        }
        Optional<Incarnation> entry = link.entry();
        if (entry.isEmpty()) {
            return;
        }
        switch (command.getCommandCase()) {
            case PULSE -> pulsed(link, command.getPulse(), nowNanos);
            case ORDER -> {
                link.ordered(nowNanos);
                ordered(entry.get(), command.getOrder(), link.specOf(command.getOrder()), nowNanos);
            }
            case STOP -> stopped(entry.get(), command.getStop().getOrder(), nowNanos);
            case ROUTES -> keepRoutes(command.getRoutes());
            case ROUTES_WANTED -> routesWanted(link, entry.get(), command.getRoutesWanted(), nowNanos);
            default ->
                LogLine.of("frame-ignored")
                        .with("frame", command.getCommandCase())
                        .warn();
        }
    }

    private void greeted(RunLink link, RunGreeting greeting, long nowNanos) {
        Incarnation entry = Incarnation.of(greeting.getIncarnation());
        link.greeted(entry);
        LogLine.of("entry-connected")
                .with("entry", greeting.getName())
                .with("incarnation", entry)
                .with("orders", greeting.getInProgressCount())
                .info();
        for (long number : greeting.getInProgressList()) {
            settle(link, new OrderId(entry, number));
        }
        sendState(link, true, nowNanos);
    }

    /** Answers for an order that the entry believes to be in progress. */
    private void settle(RunLink link, OrderId order) {
        if (queue.holds(order)) {
            return;
        }
        RunReport answer =
                answers.find(order).orElseGet(() -> LeaseFrames.refusal(order.number(), RunRefusal.NEVER_ARRIVED));
        answers.seen(order);
        link.stream().ifPresent(stream -> stream.send(answer));
    }

    private void pulsed(RunLink link, RunPulse pulse, long nowNanos) {
        link.echoed(pulse.getEchoAgentNanos(), pulse.getRoutesVersion(), pulse.getLeaving());
        link.entry().ifPresent(entry -> watch.echoed(entry, pulse.getEchoAgentNanos()));
        List<InetSocketAddress> named = pulse.getEntriesList().stream()
                .flatMap(text -> SocketAddresses.parse(text).stream())
                .toList();
        links.know(named, nowNanos);
        if (routes.heard(pulse.getRoutesVersion(), Set.copyOf(pulse.getZonesOutList()))) {
            LogLine.of("zones-changed")
                    .with("version", pulse.getRoutesVersion())
                    .with("zones_out", pulse.getZonesOutList())
                    .info();
            workerChanged();
        }
        if (routes.isFetchDue(nowNanos) && link.routesVersion() == routes.version()) {
            fetchRoutes(link, nowNanos);
        }
    }

    private void fetchRoutes(RunLink link, long nowNanos) {
        routes.fetching(nowNanos);
        link.stream().ifPresent(stream -> stream.send(LeaseFrames.routesWanted(routes.copyVersion())));
    }

    private void keepRoutes(RouteDocument document) {
        routes.received(document);
        Set<Incarnation> wanting = Set.copyOf(routesWantedBy);
        routesWantedBy.clear();
        wanting.forEach(entry -> links.to(entry).ifPresent(link -> sendRoutes(link, document)));
    }

    /** An entry that cannot read the store asks for what others have told this agent of. */
    private void routesWanted(RunLink link, Incarnation entry, RoutesWanted wanted, long nowNanos) {
        routes.newerThan(wanted.getHeldVersion()).ifPresent(document -> sendRoutes(link, document));
        if (routes.isBehind()) {
            routesWantedBy.add(entry);
            links.all().stream()
                    .filter(other -> other.routesVersion() == routes.version())
                    .findFirst()
                    .ifPresent(newest -> fetchRoutes(newest, nowNanos));
        }
    }

    private static void sendRoutes(RunLink link, RouteDocument document) {
        link.stream().ifPresent(stream -> stream.send(LeaseFrames.routes(document)));
    }

    private void ordered(Incarnation entry, RunOrder order, String spec, long nowNanos) {
        OrderId id = new OrderId(entry, order.getOrder());
        answers.seen(id);
        RunRequest request = new RunRequest(
                id,
                new RunId(order.getTask(), order.getRun()),
                order.getService(),
                spec,
                AmountMessages.fromMessage(order.getAmounts()),
                order.getEstimateMillis(),
                order.getStartByAgentNanos());
        Optional<RunRefusal> refusal = refusal(order, nowNanos);
        if (refusal.isPresent()) {
            refused(request, refusal.get());
        } else {
            watch.echoed(entry, order.getEchoAgentNanos());
            if (queue.order(nowNanos, request)) {
                line("order-waits", request).with("free_cpu", freeCpu()).info();
            }
            roomChanged();
        }
    }

    private Optional<RunRefusal> refusal(RunOrder order, long nowNanos) {
        if (EntryWatch.isStale(order.getEchoAgentNanos(), nowNanos)) {
            return Optional.of(RunRefusal.STALE_ENTRY);
        }
        if (routes.isOut(zone)) {
            return Optional.of(RunRefusal.ZONE_OUT);
        }
        return leaving ? Optional.of(RunRefusal.NO_WORKER) : Optional.empty();
    }

    private void stopped(Incarnation entry, long number, long nowNanos) {
        LogLine.of("stop-received").with("entry", entry).with("order", number).debug();
        queue.stop(nowNanos, new OrderId(entry, number));
    }

    // -- what became of orders

    @Override
    public void ended(RunRequest request, RunOutcome outcome, long runMillis) {
        metrics.ended(outcome, runMillis);
        LogLine line = line("run-ended", request).with("outcome", outcome).with("ms", runMillis);
        if (outcome == RunOutcome.DONE) {
            line.info();
        } else {
            line.warn();
        }
        answer(request.order(), LeaseFrames.end(request.order().number(), outcome, runMillis));
    }

    @Override
    public void refused(RunRequest request, RunRefusal refusal) {
        metrics.refused(refusal);
        line("order-refused", request)
                .with("reason", refusal)
                .with("free_cpu", freeCpu())
                .with("routes_version", routes.version())
                .warn();
        answer(request.order(), LeaseFrames.refusal(request.order().number(), refusal));
    }

    private int freeCpu() {
        return runs.open().map(worker -> worker.capacity().cpuMillis()).orElse(0)
                - runs.used().cpuMillis();
    }

    private static LogLine line(String event, RunRequest request) {
        return LogLine.of(event)
                .with("task", request.run().task())
                .with("entry", request.order().entry())
                .with("order", request.order().number());
    }

    private void answer(OrderId order, RunReport answer) {
        answers.keep(order, answer);
        links.to(order.entry()).ifPresent(link -> {
            link.stream().ifPresent(stream -> stream.send(answer));
            link.stateDue(now);
        });
    }

    /**
     * The entry whose run has begun or ended knows, or is told with the answer. The others that order here are told at
     * a rate that does not grow with their number, and those that do not learn it from heartbeats.
     */
    @Override
    public void roomChanged() {
        queue.roomChanged();
        List<RunLink> ordering =
                links.all().stream().filter(link -> link.isOrdering(now)).toList();
        long interval = StateRates.sharedInterval(ordering.size(), links.heard(now));
        ordering.forEach(link -> link.stateDue(Math.max(now + GATHER_NANOS, link.stateSentAt() + interval)));
    }

    @Override
    public void workerChanged() {
        queue.roomChanged();
        links.all().forEach(link -> link.stateDue(now + GATHER_NANOS));
    }

    // -- telling entries

    /** Tells entries what has changed, where that is due. */
    void flush(long nowNanos) {
        now = nowNanos;
        for (RunLink link : links.all()) {
            if (link.stateDueAt() <= nowNanos) {
                sendState(link, false, nowNanos);
            }
        }
    }

    /** Tells entries the worker's state and asks for an echo, where that is due. */
    void heartbeat(long nowNanos) {
        now = nowNanos;
        for (RunLink link : links.all()) {
            long interval = StateRates.heartbeatInterval(link.isOrdering(nowNanos));
            if (nowNanos - link.heartbeatAt() >= interval) {
                link.heartbeat(nowNanos);
                sendState(link, true, nowNanos);
            }
        }
    }

    private void sendState(RunLink link, boolean heartbeat, long nowNanos) {
        link.stateSent(nowNanos);
        if (link.entry().isEmpty() || link.stream().isEmpty()) {
            return;
        }
        Optional<WorkerReport> open = leaving ? Optional.empty() : runs.open();
        WorkerState.Builder state = WorkerState.newBuilder()
                .setAgentNanos(nowNanos)
                .setRoutesVersion(routes.version())
                .setSeenOrder(answers.highestSeen(link.entry().get()))
                .setEntries(links.heard(nowNanos))
                .setHeartbeat(heartbeat);
        open.ifPresent(worker -> state.setService(worker.service())
                .setCapacity(AmountMessages.toMessage(worker.capacity()))
                .setUsed(AmountMessages.toMessage(queue.used()))
                .addAllLabels(worker.labels()));
        runs.pace().ifPresent(pace -> state.setPacePercent((int) Math.round(Math.min(pace, MAX_PACE) * 100)));
        if (heartbeat) {
            runs.forecasts(link.entry().get())
                    .forEach((order, forecast) -> state.addProgress(LeaseFrames.progress(order, forecast)));
        }
        link.stream().get().send(LeaseFrames.state(state));
    }

    // -- time and stopping

    /** When waiting orders are to be looked at. */
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
        for (Incarnation entry : watch.takeSilent(nowNanos)) {
            int stopped = queue.stopAll(nowNanos, entry);
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

    /** Drops every connection: this process stood still, and what lies in buffers may be out of date. */
    void resumedAfterPause(long nowNanos) {
        now = nowNanos;
        links.dropAll(nowNanos, "this process stood still, or the time of day was set");
    }
}
