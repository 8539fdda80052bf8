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
 * The agent of a worker that runs tasks under leases, with one control thread and one I/O thread.
 */
public final class LeaseAgentNode implements AutoCloseable {

    /** Interval of the checks for due heartbeats, in ms: the shorter of the two heartbeat intervals. */
    private static final long HEARTBEAT_CHECK_MILLIS = 100;

    /** Interval of the checks for pauses of this process and for due connections, in ms. */
    private static final long TICK_MILLIS = 50;

    /** Interval of the lookups of entries in the table service while no entry is live, in ns. */
    private static final long LOOKUP_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How long runs may continue after SIGTERM, in ns: less than the time until the process is killed. */
    private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(4_500);

    /** Maximum size of a message from an entry, in bytes: the routes of some thousand services and paths. */
    private static final int MAX_COMMAND_BYTES = 4 * 1024 * 1024;

    /** Maximum size of a worker's report, in bytes; typical ones have a few hundred. */
    private static final int MAX_REPORT_BYTES = 64 * 1024;

    /** Maximum number of connections for reports: one worker, and connections that it failed to close. */
    private static final int MAX_CONNECTIONS = 64;

    /** Idle timeout of a connection for reports, in ms: many times the interval of reports. */
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
    private long lastLookupAt;
    private long leavingSince = Long.MAX_VALUE;

    private LeaseAgentNode(
            LeaseAgentSettings settings,
            EventLoops loops,
            WorkerCalls calls,
            TableService table,
            Function<WorkerRegistry, HttpHandler> handlerFactory) {
        this.settings = settings;
        this.loops = loops;
        this.table = table;
        this.loop = ControlLoop.start("agent-control", System::nanoTime, LeaseAgentNode::logFailure);
        Incarnation incarnation = Incarnation.random(new Random());
        this.dialer = FrameDialer.of(
                loops, Outbox.of(loop), new FrameProtocol<>(RunCommand.parser(), MAX_COMMAND_BYTES), (int)
                        LeaseTimes.ENTRY_TIMEOUT_MILLIS);
        this.links = new RunLinks(this::dial, LeaseFrames.hello(settings.name(), incarnation, settings.zone()));
        this.control = new LeaseAgentControl(settings.zone(), links, metrics);
        ControlThread controlThread = control.stoppingRunsOfSilentEntries(new LoopControlThread());
        this.runs = WorkerRuns.of(System.currentTimeMillis(), calls, controlThread, control, new RunLog());
        control.attachRuns(runs);
        this.server = HttpServer.start(
                loops,
                settings.registrations(),
                handlerFactory.apply(new Registry()),
                HttpLimits.of(MAX_REPORT_BYTES, MAX_CONNECTIONS, IDLE_MILLIS));
        this.metricsServer = MetricsServer.start(loops, settings.metrics(), metrics.registry());
        loop.execute(() -> {
            links.addAddresses(settings.entries(), loop.nowNanos());
            tick(loop.nowNanos());
        });
        loop.every(TICK_MILLIS, this::tick);
        loop.every(HEARTBEAT_CHECK_MILLIS, control::sendHeartbeats);
        loop.atDeadline(control::silenceCheckDueAt, control::stopRunsOfSilentEntries);
        loop.atDeadline(control::flushDueAt, control::flush);
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
     * @param loops the I/O threads, closed with the agent
     * @param calls the calls to the worker
     * @param table the table service, where entries are looked up
     * @param handlerFactory creates the HTTP handler that receives the worker's reports
     * @return the running agent
     * @throws IllegalStateException if the address for reports cannot be bound
     */
    public static LeaseAgentNode start(
            LeaseAgentSettings settings,
            EventLoops loops,
            WorkerCalls calls,
            TableService table,
            Function<WorkerRegistry, HttpHandler> handlerFactory) {
        Objects.requireNonNull(settings, "settings is null");
        return new LeaseAgentNode(settings, loops, calls, table, handlerFactory);
    }

    /**
     * Applies the settings that can change while the agent runs: the addresses of entries.
     *
     * @param changed the new settings
     */
    public void reload(LeaseAgentSettings changed) {
        loop.execute(() -> links.addAddresses(changed.entries(), loop.nowNanos()));
    }

    // -- stopping

    /**
     * Stops gracefully: new orders are refused, and runs in progress may end within a time limit.
     *
     * @return a stage that completes when the agent is closed
     */
    public CompletionStage<Void> stop() {
        loop.execute(() -> {
            leavingSince = loop.nowNanos();
            control.leave(leavingSince);
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
        checkForPause(nowNanos);
        control.tick(nowNanos);
        status = control.status(nowNanos);
        lookUpEntries(nowNanos);
        boolean drained = leavingSince != Long.MAX_VALUE && (control.isIdle() || nowNanos - leavingSince > DRAIN_NANOS);
        if (drained && !stopped.isDone()) {
            LogLine.of("agent-stopped").with("drained", control.isIdle()).info();
            new Thread(this::close, "agent-close").start();
        }
    }

    private void lookUpEntries(long nowNanos) {
        if (nowNanos - lastLookupAt < LOOKUP_INTERVAL_NANOS && lastLookupAt != 0
                || links.countLiveEntries(nowNanos) > 0) {
            return;
        }
        lastLookupAt = nowNanos;
        EntryAddresses.readAll(table)
                .thenAccept(found -> loop.execute(() -> {
                    links.addAddresses(found, loop.nowNanos());
                    links.tick(loop.nowNanos());
                }));
    }

    private LeaseMetrics.Status status() {
        return status;
    }

    private void checkForPause(long nowNanos) {
        if (pauses.hasPaused(nowNanos, System.currentTimeMillis())) {
            LogLine.of("agent-paused").warn();
            control.resumedAfterPause(nowNanos);
        }
    }

    private FrameConnection<RunReport> dial(InetSocketAddress address) {
        return dialer.dial(address, new CommandListener());
    }

    private static void logFailure(Throwable failure) {
        LogLine.of("internal-error").with("failure", failure).warn();
        failure.printStackTrace();
    }

    /** Passes entries' commands to the control thread. */
    private final class CommandListener implements FrameListener<RunCommand, RunReport> {

        @Override
        public void received(FrameConnection<RunReport> stream, List<RunCommand> commands) {
            loop.execute(() -> {
                checkForPause(loop.nowNanos());
                control.received(stream, commands, loop.nowNanos());
            });
        }

        @Override
        public void ended(FrameConnection<RunReport> stream, String reason) {
            loop.execute(() -> control.streamEnded(stream, reason, loop.nowNanos()));
        }
    }

    private final class Registry implements WorkerRegistry {

        @Override
        public void workerReported(WorkerReport report) {
            loop.execute(() -> control.workerReported(report, loop.nowNanos()));
        }

        @Override
        public void workerLeft(String workerId) {
            loop.execute(() -> control.workerLeft(workerId, loop.nowNanos()));
        }
    }

    private final class LoopControlThread implements ControlThread {

        @Override
        public <T> void handle(CompletionStage<T> stage, BiConsumer<Long, T> handler) {
            stage.thenAccept(result -> loop.execute(() -> {
                checkForPause(loop.nowNanos());
                handler.accept(loop.nowNanos(), result);
            }));
        }
    }
}
