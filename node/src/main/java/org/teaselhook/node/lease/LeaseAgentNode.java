package org.teaselhook.node.lease;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.lease.ControlThread;
import org.teaselhook.core.lease.LeaseTimes;
import org.teaselhook.core.lease.WorkerCalls;
import org.teaselhook.core.lease.WorkerReport;
import org.teaselhook.core.lease.WorkerRuns;
import org.teaselhook.core.table.TableService;
import org.teaselhook.net.http.EventLoops;
import org.teaselhook.net.http.HttpHandler;
import org.teaselhook.net.http.HttpLimits;
import org.teaselhook.net.http.HttpServer;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.config.EntryAddresses;
import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.node.control.PauseDetector;
import org.teaselhook.node.frame.FrameConnection;
import org.teaselhook.node.frame.FrameDialer;
import org.teaselhook.node.frame.FrameListener;
import org.teaselhook.node.frame.FrameProtocol;
import org.teaselhook.node.frame.Outbox;
import org.teaselhook.node.health.MetricsServer;
import org.teaselhook.node.settings.LeaseAgentSettings;
import org.teaselhook.wire.RunCommand;
import org.teaselhook.wire.RunReport;

/**
 * The agent of a worker that runs tasks under leases: one control thread and one traffic thread.
 */
public final class LeaseAgentNode implements AutoCloseable {

    /** How often heartbeats are looked at, in ms: the shorter interval between two of them. */
    private static final long HEARTBEAT_MILLIS = 100;

    /** How often silence of entries is looked for, in ms: part of the chain of times in {@link LeaseTimes}. */
    private static final long TICK_MILLIS = 50;

    /** How long entries are looked up in the table service while none is connected, in ns. */
    private static final long LOOKUP_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How long runs may go on after SIGTERM, in ns: less than the time until the process is killed. */
    private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(4_500);

    /** The greatest message of an entry, in bytes: the routes of some thousand services and paths. */
    private static final int MAX_COMMAND_BYTES = 4 * 1024 * 1024;

    /** The greatest report of a worker, in bytes; usual ones have some hundred. */
    private static final int MAX_REPORT_BYTES = 64 * 1024;

    /** The greatest number of connections for reports: one worker, and what it left open. */
    private static final int MAX_CONNECTIONS = 64;

    /** How long such a connection may be idle, in ms: many heartbeats. */
    private static final long IDLE_MILLIS = 30_000;

    private final LeaseAgentSettings settings;
    private final EventLoops loops;
    private final ControlLoop loop;
    private final FrameDialer<RunCommand, RunReport> dialer;
    private final RunLinks links;
    private final LeaseAgentControl control;
    private final WorkerRuns runs;
    private final HttpServer server;
    private final LeaseMetrics metrics = new LeaseMetrics(this::status);
    private final MetricsServer metricsServer;
    private final TableService table;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final PauseDetector pauses = PauseDetector.startingAt(System.nanoTime(), System.currentTimeMillis());
    private volatile LeaseMetrics.Status status = LeaseMetrics.Status.INITIAL;
    private long lookupAt;
    private long leftAt = Long.MAX_VALUE;

    private LeaseAgentNode(
            LeaseAgentSettings settings,
            EventLoops loops,
            WorkerCalls calls,
            TableService table,
            Function<WorkerRegistry, HttpHandler> registrations) {
        this.settings = settings;
        this.loops = loops;
        this.table = table;
        this.loop = ControlLoop.start("agent-control", System::nanoTime, LeaseAgentNode::failed);
        Incarnation incarnation = Incarnation.random(new Random());
        this.dialer = FrameDialer.of(
                loops, Outbox.of(loop), new FrameProtocol<>(RunCommand.parser(), MAX_COMMAND_BYTES), (int)
                        LeaseTimes.ENTRY_TIMEOUT_MILLIS);
        this.links = new RunLinks(this::dial, LeaseFrames.hello(settings.name(), incarnation, settings.zone()));
        this.control = new LeaseAgentControl(settings.zone(), links, metrics);
        this.runs = WorkerRuns.of(System.currentTimeMillis(), calls, new OnLoop(), control, new RunLog());
        control.connect(runs);
        this.server = HttpServer.start(
                loops,
                settings.registrations(),
                registrations.apply(new Registry()),
                HttpLimits.of(MAX_REPORT_BYTES, MAX_CONNECTIONS, IDLE_MILLIS));
        this.metricsServer = MetricsServer.start(loops, settings.metrics(), metrics.registry());
        loop.execute(() -> links.know(settings.entries(), loop.nowNanos()));
        loop.every(TICK_MILLIS, this::tick);
        loop.every(HEARTBEAT_MILLIS, control::heartbeat);
        loop.atDeadline(control::flushAt, control::flush);
        loop.atDeadline(runs::nextTickAt, runs::tick);
        loop.atDeadline(control::queueDueAt, control::tickQueue);
        LogLine.of("agent-started")
                .with("name", settings.name())
                .with("incarnation", incarnation)
                .with("zone", settings.zone())
                .info();
    }

    // -- factories

    /**
     * Starts an agent.
     *
     * @param settings the settings
     * @param loops the traffic threads, closed with the agent
     * @param calls the calls to the worker
     * @param table the table service, where entries are found
     * @param registrations makes the handler that takes the worker's reports
     * @return the running agent
     * @throws IllegalStateException if the address for reports cannot be bound
     */
    public static LeaseAgentNode start(
            LeaseAgentSettings settings,
            EventLoops loops,
            WorkerCalls calls,
            TableService table,
            Function<WorkerRegistry, HttpHandler> registrations) {
        Objects.requireNonNull(settings, "settings is null");
        return new LeaseAgentNode(settings, loops, calls, table, registrations);
    }

    /**
     * Takes new settings over, as far as they can change while the agent runs: the addresses of entries.
     *
     * @param changed the new settings
     */
    public void reload(LeaseAgentSettings changed) {
        loop.execute(() -> links.know(changed.entries(), loop.nowNanos()));
    }

    // -- stopping

    /**
     * Stops gracefully: nothing new starts, and runs may end by themselves for a while.
     *
     * @return a stage that completes when the agent is closed
     */
    public CompletionStage<Void> stop() {
        loop.execute(() -> {
            leftAt = loop.nowNanos();
            control.leave(leftAt);
        });
        return stopped;
    }

    @Override
    public void close() {
        loop.close();
        server.close();
        metricsServer.close();
        loops.close();
        stopped.complete(null);
    }

    // -- events on the control thread

    private void tick(long nowNanos) {
        noticePause(nowNanos);
        control.tick(nowNanos);
        status = control.status(nowNanos);
        lookUpEntries(nowNanos);
        boolean drained = leftAt != Long.MAX_VALUE && (control.isIdle() || nowNanos - leftAt > DRAIN_NANOS);
        if (drained && !stopped.isDone()) {
            LogLine.of("agent-stopped").with("drained", control.isIdle()).info();
            new Thread(this::close, "agent-close").start();
        }
    }

    private void lookUpEntries(long nowNanos) {
        if (nowNanos - lookupAt < LOOKUP_NANOS && lookupAt != 0 || links.heard(nowNanos) > 0) {
            return;
        }
        lookupAt = nowNanos;
        EntryAddresses.scan(table).thenAccept(found -> loop.execute(() -> links.know(found, loop.nowNanos())));
    }

    private LeaseMetrics.Status status() {
        return status;
    }

    private void noticePause(long nowNanos) {
        if (pauses.hasPaused(nowNanos, System.currentTimeMillis())) {
            LogLine.of("agent-paused").warn();
            control.resumedAfterPause(nowNanos);
        }
    }

    private FrameConnection<RunReport> dial(InetSocketAddress address) {
        return dialer.dial(address, new Commands());
    }

    private static void failed(Throwable failure) {
        LogLine.of("internal-error").with("failure", failure).warn();
        failure.printStackTrace();
    }

    /** Hands what entries send to the control thread. */
    private final class Commands implements FrameListener<RunCommand, RunReport> {

        @Override
        public void received(FrameConnection<RunReport> stream, List<RunCommand> commands) {
            loop.execute(() -> {
                noticePause(loop.nowNanos());
                control.received(stream, commands, loop.nowNanos());
            });
        }

        @Override
        public void ended(FrameConnection<RunReport> stream, String reason) {
            loop.execute(() -> control.ended(stream, reason, loop.nowNanos()));
        }
    }

    private final class Registry implements WorkerRegistry {

        @Override
        public void reported(WorkerReport report) {
            loop.execute(() -> control.reported(report, loop.nowNanos()));
        }

        @Override
        public void left(String workerId) {
            loop.execute(() -> control.left(workerId, loop.nowNanos()));
        }
    }

    private final class OnLoop implements ControlThread {

        @Override
        public <T> void handle(CompletionStage<T> stage, BiConsumer<Long, T> handler) {
            stage.thenAccept(result -> loop.execute(() -> handler.accept(loop.nowNanos(), result)));
        }
    }
}
