package org.teaselhook.node.agent;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.net.http.EventLoops;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.http.HttpLimits;
import org.teaselhook.net.http.HttpResult;
import org.teaselhook.net.http.HttpServer;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.node.health.HealthEndpoints;
import org.teaselhook.node.settings.AgentSettings;
import org.teaselhook.wire.EntryFrame;

/**
 * An agent process, with one control thread and one I/O thread.
 *
 * <pre>{@code
 * AgentNode agent = AgentNode.start(settings);
 * agent.stop().toCompletableFuture().join();
 * }</pre>
 */
public final class AgentNode implements AutoCloseable {

    private static final long TICK_MILLIS = 100;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long ACK_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int MAX_ANNOUNCEMENT_BYTES = 16 * 1024;
    private static final int MAX_HTTP_CONNECTIONS = 256;
    private static final long HTTP_IDLE_MILLIS = 30_000;

    private final AgentClock clock = new AgentClock();
    private final EventLoops loops = EventLoops.of(1);
    private final Incarnation incarnation = Incarnation.random(ThreadLocalRandom.current());
    private final ControlLoop loop;
    private final HttpClient client;
    private final AgentControl control;
    private final EntryLinks links;
    private final HttpServer server;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private volatile AgentStatus status = AgentStatus.initial();
    private long idleSinceNanos;
    private boolean stopping;

    private AgentNode(AgentSettings settings) {
        this.loop = ControlLoop.start("agent-control", clock::nanos, AgentNode::logFailure);
        this.client = HttpClient.create(loops, settings.connections(), CONNECT_TIMEOUT_MILLIS);
        AgentIdentity identity =
                new AgentIdentity(settings.name(), incarnation, settings.zone(), settings.rack(), settings.slots());
        AgentMetrics metrics = new AgentMetrics(() -> status);
        this.control = new AgentControl(identity, TaskRunner.http(client), new LoopCallbacks(), metrics);
        this.links = new EntryLinks(
                new GrpcDialer(loops),
                new LoopStreamListener(),
                control,
                new EntrySelector(settings.name(), settings.connectedEntries()),
                settings.entries(),
                clock.nanos());
        HealthEndpoints endpoints = new HealthEndpoints(metrics.registry(), () -> status.unreadyReason());
        this.server = HttpServer.start(
                loops,
                settings.http(),
                new AgentHttp(endpoints, this::announce, this::withdraw),
                HttpLimits.of(MAX_ANNOUNCEMENT_BYTES, MAX_HTTP_CONNECTIONS, HTTP_IDLE_MILLIS));
        loop.every(TICK_MILLIS, this::tick);
        loop.every(HEARTBEAT_MILLIS, this::sendHeartbeats);
        LogLine.of("agent-started")
                .with("name", settings.name())
                .with("incarnation", incarnation)
                .with("zone", settings.zone())
                .with("slots", settings.slots())
                .with("http_port", server.port())
                .info();
    }

    // -- factories

    /**
     * Starts an agent, which connects to the entries in its settings.
     *
     * @param settings the settings
     * @return the running agent
     * @throws IllegalStateException if its HTTP address cannot be bound
     */
    public static AgentNode start(AgentSettings settings) {
        return new AgentNode(Objects.requireNonNull(settings, "settings is null"));
    }

    // -- accessors

    /**
     * Returns the HTTP port on which targets announce themselves.
     *
     * @return the port
     */
    public int httpPort() {
        return server.port();
    }

    /**
     * Returns the incarnation of this agent process.
     *
     * @return the incarnation
     */
    public Incarnation incarnation() {
        return incarnation;
    }

    // -- stopping

    /**
     * Stops gracefully: no new task starts, running tasks finish, and their results are delivered. Waits up to 5 s for
     * outstanding acknowledgements.
     *
     * @return a stage that completes when the agent is closed
     */
    public CompletionStage<Void> stop() {
        loop.execute(this::leave);
        return stopped;
    }

    /** Closes immediately: drops connections and abandons running tasks. */
    @Override
    public void close() {
        loop.close();
        release();
    }

    private void leave() {
        if (!stopping) {
            stopping = true;
            idleSinceNanos = clock.nanos();
            control.leave(clock.nanos());
        }
    }

    private void closeIfDrained(long nowNanos) {
        if (!control.isIdle()) {
            idleSinceNanos = nowNanos;
        }
        if (control.isDrained() || nowNanos - idleSinceNanos > ACK_TIMEOUT_NANOS) {
            LogLine.of("agent-stopped").with("drained", control.isDrained()).info();
            links.finishAll();
            Thread closer = new Thread(this::close, "agent-close");
            closer.start();
        }
    }

    private void release() {
        server.close();
        client.close();
        loops.close();
        stopped.complete(null);
    }

    // -- events on the control thread

    private void tick(long nowNanos) {
        control.tick(nowNanos);
        links.tick(nowNanos);
        status = control.status();
        if (stopping) {
            closeIfDrained(nowNanos);
        }
    }

    private void sendHeartbeats(long nowNanos) {
        links.sendHeartbeats(nowNanos);
    }

    private CompletionStage<Void> announce(Announcement announcement) {
        return onLoop(() -> {
            control.announce(announcement.name(), announcement.service(), announcement.address(), clock.nanos());
            return null;
        });
    }

    private CompletionStage<Boolean> withdraw(String target) {
        return onLoop(() -> control.withdraw(target, clock.nanos()));
    }

    private <T> CompletionStage<T> onLoop(Supplier<T> action) {
        return CompletableFuture.supplyAsync(action, loop);
    }

    private static void logFailure(Throwable failure) {
        LogLine.of("internal-error").with("failure", failure).warn();
    }

    /** Forwards task events to the control thread. */
    private final class LoopCallbacks implements AgentCallbacks {

        @Override
        public void taskFinished(RunningTask task, HttpResult result) {
            loop.execute(() -> control.taskFinished(task, result, clock.nanos()));
        }

        @Override
        public void scheduleExpiry(long nanos) {
            CompletableFuture.delayedExecutor(nanos, TimeUnit.NANOSECONDS, loop)
                    .execute(() -> control.expireHeld(clock.nanos()));
        }
    }

    /** Forwards stream events to the control thread. */
    private final class LoopStreamListener implements StreamListener {

        @Override
        public void frameReceived(EntryStream stream, EntryFrame frame) {
            loop.execute(() -> links.frameReceived(stream, frame, clock.read()));
        }

        @Override
        public void streamEnded(EntryStream stream, String reason) {
            loop.execute(() -> links.streamEnded(stream, reason, clock.nanos()));
        }
    }
}
