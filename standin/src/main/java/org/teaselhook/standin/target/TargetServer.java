package org.teaselhook.standin.target;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.teaselhook.net.http.EventLoops;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.http.HttpLimits;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.HttpServer;

/**
 * An HTTP target that simulates tasks by its {@link TargetBehaviour} and answers each with the body of the request.
 *
 * <pre>{@code
 * TargetSettings settings = TargetSettings.of("lab-1", "storefront", "vidzeme-a", agentHttp);
 * TargetServer target = TargetServer.start(settings, TargetBehaviour.of(RunTime.fixed(50)), TaskListener.none());
 * }</pre>
 */
public final class TargetServer implements AutoCloseable {

    private static final String TASKS_PATH = "/v1/tasks/";
    private static final long CONNECT_TIMEOUT_MILLIS = 500;
    private static final double NANOS_PER_MILLI = 1e6;

    private final TargetSettings settings;
    private final TaskListener listener;
    private final EventLoops loops;
    private final boolean ownsLoops;
    private final HttpClient client;
    private final HttpServer server;
    private final TargetRegistration registration;
    private final ConnectionTasks connections;
    private final AtomicInteger running = new AtomicInteger();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private volatile TargetBehaviour behaviour;
    private volatile boolean stopping;

    private TargetServer(
            TargetSettings settings,
            TargetBehaviour behaviour,
            TaskListener listener,
            EventLoops loops,
            boolean ownsLoops) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.behaviour = Objects.requireNonNull(behaviour, "behaviour is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
        this.connections = new ConnectionTasks(start -> listener.abandoned(start, System.currentTimeMillis()));
        this.loops = loops;
        this.ownsLoops = ownsLoops;
        this.client = HttpClient.create(loops, 1, CONNECT_TIMEOUT_MILLIS);
        this.server = HttpServer.start(loops, settings.bind(), this::handle, HttpLimits.standard());
        this.registration = new TargetRegistration(client, settings, server.port());
    }

    // -- factories

    /**
     * Starts a target with its own event loop and registers it.
     *
     * @param settings the settings
     * @param behaviour the initial behaviour
     * @param listener receives every start and end
     * @return the running target
     */
    public static TargetServer start(TargetSettings settings, TargetBehaviour behaviour, TaskListener listener) {
        return registered(new TargetServer(settings, behaviour, listener, EventLoops.of(1), true));
    }

    /**
     * Starts a target on shared event loops and registers it.
     *
     * @param loops the event loops; the caller closes them after the target
     * @param settings the settings
     * @param behaviour the initial behaviour
     * @param listener receives every start and end
     * @return the running target
     */
    public static TargetServer start(
            EventLoops loops, TargetSettings settings, TargetBehaviour behaviour, TaskListener listener) {
        return registered(new TargetServer(settings, behaviour, listener, loops, false));
    }

    private static TargetServer registered(TargetServer target) {
        target.registration.start(target.loops);
        return target;
    }

    // -- accessors

    /**
     * Returns the port listened on.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns the number of tasks in progress, excluding those that are never answered.
     *
     * @return the number of tasks
     */
    public int running() {
        return running.get();
    }

    // -- updates

    /**
     * Registers a different address from now on, such as that of a relay in front of the target.
     *
     * @param address the address
     */
    public void changeAddress(InetSocketAddress address) {
        registration.changeAddress(Objects.requireNonNull(address, "address is null"));
    }

    /**
     * Changes the behaviour for tasks that start from now on.
     *
     * @param next the behaviour
     */
    public void setBehaviour(TargetBehaviour next) {
        behaviour = Objects.requireNonNull(next, "next is null");
    }

    /**
     * Deregisters the target from its agent; it continues to run tasks that arrive.
     *
     * @return a stage that completes when the agent has answered or the request has timed out
     */
    public CompletionStage<Void> deregister() {
        return registration.deregister().thenApply(ignored -> null);
    }

    /**
     * Stops gracefully: deregisters the target, waits for the tasks in progress, and closes.
     *
     * @return a stage that completes when the target is closed
     */
    public CompletionStage<Void> stop() {
        deregister().whenComplete((ignored, failure) -> {
            stopping = true;
            closeIfDone();
        });
        return stopped;
    }

    /** Closes immediately without deregistering: connections are closed, and answers in flight are lost. */
    @Override
    public void close() {
        registration.stop();
        server.close();
        client.close();
        if (ownsLoops) {
            loops.close();
        }
        stopped.complete(null);
    }

    private void closeIfDone() {
        if (stopping && running.get() == 0) {
            server.stopAccepting();
            server.drained().whenComplete((ignored, failure) -> close());
        }
    }

    // -- tasks

    private CompletionStage<HttpReply> handle(HttpCall call) {
        String[] names = call.path().startsWith(TASKS_PATH)
                ? call.path().substring(TASKS_PATH.length()).split("/", -1)
                : new String[0];
        if (!call.method().equals("POST") || names.length != 2) {
            return CompletableFuture.completedFuture(
                    HttpReply.of(404, "text/plain", "use POST /v1/tasks/SERVICE/KIND\n"));
        }
        TargetBehaviour current = behaviour;
        long nowMillis = System.currentTimeMillis();
        if (current.checksStartBy() && nowMillis > startBy(call)) {
            return CompletableFuture.completedFuture(notStarted());
        }
        TaskStart start = start(call, names[0], names[1], nowMillis);
        listener.started(start);
        return run(call, start, current);
    }

    private CompletionStage<HttpReply> run(HttpCall call, TaskStart start, TargetBehaviour current) {
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        connections.begin(call.callerDisconnected(), start);
        ThreadLocalRandom random = ThreadLocalRandom.current();
        if (random.nextDouble() < current.unansweredShare()) {
            return reply;
        }
        running.incrementAndGet();
        boolean fails = current.failsImmediately() || random.nextDouble() < current.failureShare();
        double millis =
                current.failsImmediately() ? 0 : current.runTimeOf(start.kind()).sampleMillisFor(call.body(), random);
        HttpReply result = fails ? failed() : answer(call, start, current.returnsAttempt());
        long nanos = (long) (millis * NANOS_PER_MILLI);
        loops.group().next().schedule(() -> end(call, start, reply, result), nanos, TimeUnit.NANOSECONDS);
        return reply;
    }

    private void end(HttpCall call, TaskStart start, CompletableFuture<HttpReply> reply, HttpReply result) {
        listener.ended(start, result.status(), System.currentTimeMillis());
        connections.end(call.callerDisconnected());
        reply.complete(result);
        running.decrementAndGet();
        closeIfDone();
    }

    private TaskStart start(HttpCall call, String service, String kind, long nowMillis) {
        return new TaskStart(
                settings.name(),
                settings.zone(),
                service,
                kind,
                call.header("teaselhook-customer").orElse(""),
                call.header("teaselhook-submission").orElse(""),
                Integer.parseInt(call.header("teaselhook-task").orElse("0")),
                call.header("teaselhook-attempt").orElse(""),
                call.body(),
                nowMillis,
                System.nanoTime());
    }

    private static long startBy(HttpCall call) {
        return call.header("teaselhook-start-by").map(Long::parseLong).orElse(Long.MAX_VALUE);
    }

    private static HttpReply notStarted() {
        return HttpReply.of(503, "text/plain", "the start-by time has passed\n")
                .withHeader("teaselhook-not-started", "true");
    }

    private static HttpReply failed() {
        return HttpReply.of(500, "text/plain", "the task failed\n");
    }

    private static HttpReply answer(HttpCall call, TaskStart start, boolean withAttempt) {
        String contentType = call.header("content-type").orElse("application/octet-stream");
        return HttpReply.of(200, contentType, withAttempt ? bodyAndAttempt(start) : call.body());
    }

    private static byte[] bodyAndAttempt(TaskStart start) {
        byte[] suffix = ("\n" + start.attempt()).getBytes(StandardCharsets.UTF_8);
        byte[] result = Arrays.copyOf(start.body(), start.body().length + suffix.length);
        System.arraycopy(suffix, 0, result, start.body().length, suffix.length);
        return result;
    }
}
