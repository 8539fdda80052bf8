package org.teaselhook.node.job;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongConsumer;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.job.Job;
import org.teaselhook.core.job.JobResult;
import org.teaselhook.core.job.LoadShedder;
import org.teaselhook.core.job.RecentIds;
import org.teaselhook.core.job.Step;
import org.teaselhook.core.member.Member;
import org.teaselhook.core.route.Route;
import org.teaselhook.core.route.RouteIndex;
import org.teaselhook.core.route.RouteSource;
import org.teaselhook.core.route.Routes;
import org.teaselhook.core.table.TableService;
import org.teaselhook.net.http.EventLoops;
import org.teaselhook.net.http.HttpHandler;
import org.teaselhook.net.http.HttpLimits;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.HttpServer;
import org.teaselhook.net.http.ListenSocket;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.config.EntryListener;
import org.teaselhook.node.config.EntryRegistry;
import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.node.control.PauseDetector;
import org.teaselhook.node.frame.FrameProtocol;
import org.teaselhook.node.frame.FrameServer;
import org.teaselhook.node.frame.Outbox;
import org.teaselhook.node.health.MetricsServer;
import org.teaselhook.node.route.RoutePoller;
import org.teaselhook.node.settings.JobEntrySettings;
import org.teaselhook.node.settings.SocketAddresses;
import org.teaselhook.wire.RunReport;

/**
 * An entry for jobs whose tasks request amounts of resources, with one control thread and one I/O thread.
 */
public final class JobEntryNode implements AutoCloseable {

    /** Interval of the checks of deadlines, in ms: a fraction of the shortest wait that an objective allows. */
    private static final long TICK_MILLIS = 20;

    /** Interval of the checks of readiness and due reads, in ms: a fraction of the load balancer's, which is 1 s. */
    private static final long SLOW_TICK_MILLIS = 100;

    /** Maximum size of a message from an agent, in bytes: the routes of some thousand services and paths. */
    private static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    /** Maximum size of a request body, in bytes: the limit in the operators' configurations so far. */
    private static final int MAX_BODY_BYTES = 256 * 1024;

    /** Maximum number of callers' connections: the file descriptors of an entry VM, less those for its agents. */
    private static final int MAX_CONNECTIONS = 3_000;

    /** Idle timeout of a connection, in ms: longer than callers' pauses between requests. */
    private static final long IDLE_MILLIS = 60_000;

    /** How long after its start an entry without routes or workers accepts callers at the latest, in ns. */
    private static final long MAX_CLOSED_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** How long connections are accepted after SIGTERM, in ns: the load balancer needs two failed checks, 1 s apart. */
    private static final long UNREADY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** How long jobs may continue after SIGTERM, in ns: less than the time until the process is killed. */
    private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(5_300);

    private final JobEntrySettings settings;
    private final EventLoops loops;
    private final ControlLoop loop;
    private final JobEntryControl control;
    private final RoutePoller poller;
    private final EntryRegistry entryRegistry;
    private final CallerExits callerExits;
    private final AgentStreamListener agentListener;
    private final FrameServer agents;
    private final HttpServer ready;
    private final ListenSocket callerSocket;
    private final HttpHandler callerHandler;
    private final HttpLimits limits = HttpLimits.of(MAX_BODY_BYTES, MAX_CONNECTIONS, IDLE_MILLIS);
    private final JobMetrics metrics = new JobMetrics(this::status);
    private final MetricsServer metricsServer;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final PauseDetector pauses;
    private final long startedAt;
    private volatile Routes routes = Routes.none();
    private volatile RouteIndex index = RouteIndex.empty();
    private volatile JobMetrics.Status status = JobMetrics.Status.INITIAL;
    private final LoadShedder shedder;
    private Optional<HttpServer> callers = Optional.empty();
    private volatile Optional<String> unreadyReason = Optional.of("starting");
    private List<String> entryAddresses = List.of();
    private long leavingSince = Long.MAX_VALUE;
    private boolean probeInFlight;
    private long probeSentAt;

    private JobEntryNode(
            JobEntrySettings settings,
            ListenSocket callerSocket,
            EventLoops loops,
            TableService table,
            RouteSource source,
            Function<JobService, HttpHandler> handlerFactory) {
        this.settings = settings;
        this.callerSocket = callerSocket;
        this.loops = loops;
        this.loop = ControlLoop.start("entry-control", System::nanoTime, JobEntryNode::logFailure);
        Incarnation incarnation = Incarnation.random(new Random());
        this.startedAt = loop.nowNanos();
        this.callerExits = new CallerExits(loop);
        CallerReads callerReads = new CallerReads(startedAt, this::readCallers, this::callersRead);
        this.control = new JobEntryControl(
                settings.name(),
                settings.zone(),
                incarnation,
                this::knownEntries,
                callerReads,
                callerExits,
                loop::nowNanos,
                metrics);
        this.shedder = LoadShedder.withInterval(SLOW_TICK_MILLIS, startedAt);
        this.poller = RoutePoller.of(source, loop, control::routesRead);
        loop.execute(() -> poller.tick(loop.nowNanos()));
        this.entryRegistry = EntryRegistry.of(table, member(incarnation), new MemberUpdates(), loop, new Random());
        this.agentListener = new AgentStreamListener(loop, control.sessions(), callerExits);
        this.agents = FrameServer.start(
                loops,
                settings.agents(),
                Outbox.of(loop),
                new FrameProtocol<>(RunReport.parser(), MAX_FRAME_BYTES),
                agentListener);
        this.callerHandler = handlerFactory.apply(new LoopJobService());
        this.ready =
                HttpServer.start(loops, settings.ready(), call -> CompletableFuture.completedFuture(ready()), limits);
        this.metricsServer = MetricsServer.start(loops, settings.metrics(), metrics.registry());
        this.pauses = PauseDetector.startingAt(System.nanoTime(), System.currentTimeMillis());
        loop.beforeEach(() -> checkForPause(loop.nowNanos()));
        loop.every(TICK_MILLIS, this::tick);
        loop.every(SLOW_TICK_MILLIS, this::slowTick);
        LogLine.of("entry-started")
                .with("name", settings.name())
                .with("incarnation", incarnation)
                .with("zone", settings.zone())
                .info();
    }

    // -- factories

    /**
     * Starts an entry.
     *
     * @param settings the settings
     * @param callerSocket the socket that callers connect to, closed with the entry
     * @param loops the I/O threads, closed with the entry
     * @param table the table service, in which entries register
     * @param source the source of the operators' routes
     * @param handlerFactory creates the HTTP handler of callers' requests
     * @return the running entry
     * @throws IllegalStateException if one of its addresses cannot be bound
     */
    public static JobEntryNode start(
            JobEntrySettings settings,
            ListenSocket callerSocket,
            EventLoops loops,
            TableService table,
            RouteSource source,
            Function<JobService, HttpHandler> handlerFactory) {
        Objects.requireNonNull(settings, "settings is null");
        return new JobEntryNode(settings, callerSocket, loops, table, source, handlerFactory);
    }

    private Member member(Incarnation incarnation) {
        String agentsAddress = SocketAddresses.format(settings.agents());
        String httpAddress = SocketAddresses.format(settings.callers());
        return new Member(settings.name(), incarnation, settings.zone(), agentsAddress, httpAddress, 0);
    }

    /**
     * Logs a warning if settings have changed, as none of an entry's settings can change while it runs.
     *
     * @param changed the new settings
     */
    public void reload(JobEntrySettings changed) {
        if (!changed.equals(settings)) {
            LogLine.of("restart-needed").with("settings", changed).warn();
        }
    }

    // -- stopping

    /**
     * Stops gracefully: readiness checks fail, so that the load balancer sends no more requests, and jobs in progress
     * may end within a time limit and are answered.
     *
     * @return a stage that completes when the entry is closed
     */
    public CompletionStage<Void> stop() {
        loop.execute(this::leave);
        return stopped;
    }

    private void leave() {
        leavingSince = loop.nowNanos();
        unreadyReason = Optional.of("stopping");
        LogLine.of("entry-stopping").with("jobs", control.activeJobs()).info();
        control.leave();
        entryRegistry.deregister();
    }

    private void closeIfDrained(long nowNanos) {
        if (nowNanos - leavingSince < UNREADY_NANOS) {
            return;
        }
        callers.ifPresent(HttpServer::stopAccepting);
        boolean drained = control.activeJobs() == 0
                && callers.map(server -> server.drained().toCompletableFuture().isDone())
                        .orElse(true);
        if ((drained || nowNanos - leavingSince > DRAIN_NANOS) && !stopped.isDone()) {
            LogLine.of("entry-stopped").with("drained", drained).info();
            new Thread(this::close, "entry-close").start();
        }
    }

    @Override
    public void close() {
        loop.close();
        agents.close();
        callers.ifPresent(HttpServer::close);
        callerSocket.close();
        ready.close();
        metricsServer.close();
        loops.close();
        stopped.complete(null);
    }

    // -- events on the control thread

    private void checkForPause(long nowNanos) {
        if (pauses.hasPaused(nowNanos, System.currentTimeMillis())) {
            LogLine.of("entry-paused").warn();
            control.resumedAfterPause(nowNanos);
        }
    }

    /** Only called for jobs, which come from the server. */
    private void readCallers(LongConsumer onComplete) {
        callers.orElseThrow().afterReads(onComplete);
    }

    private void callersRead() {
        loop.execute(() -> control.callersRead(loop.nowNanos()));
    }

    private void tick(long nowNanos) {
        control.tick(nowNanos);
        agentListener.tick(nowNanos);
        updateRoutes(control.routes());
        if (callers.isEmpty() && isReadyForCallers(nowNanos)) {
            callers = Optional.of(HttpServer.start(loops, callerSocket, callerHandler, limits));
        }
    }

    /**
     * Whether callers are accepted. When all VMs start at once, callers connect before the first agent; reading their
     * requests would only delay the agents. Their connections wait in the socket's queue, as they can be served soon.
     */
    private boolean isReadyForCallers(long nowNanos) {
        return control.unreadyReason().isEmpty() || nowNanos - startedAt >= MAX_CLOSED_NANOS;
    }

    private void updateRoutes(Routes current) {
        if (current != routes) {
            index = RouteIndex.of(current.routes());
            routes = current;
        }
    }

    /** Measures how long tasks wait for the threads, with an empty task sent to the I/O thread and back. */
    private void measureLag(long nowNanos) {
        if (probeInFlight) {
            shedder.recordLag(nowNanos, nowNanos - probeSentAt);
            return;
        }
        probeInFlight = true;
        probeSentAt = nowNanos;
        loops.group()
                .execute(() -> loop.execute(() -> {
                    probeInFlight = false;
                    shedder.recordLag(loop.nowNanos(), loop.nowNanos() - probeSentAt);
                }));
    }

    private void slowTick(long nowNanos) {
        measureLag(nowNanos);
        poller.tick(nowNanos);
        status = control.status(nowNanos, shedder.share());
        entryRegistry.tick(nowNanos);
        if (leavingSince != Long.MAX_VALUE) {
            closeIfDrained(nowNanos);
        } else {
            updateReadiness(control.unreadyReason());
        }
    }

    private void updateReadiness(Optional<String> current) {
        if (!current.equals(unreadyReason)) {
            LogLine.of(current.isEmpty() ? "entry-ready" : "entry-unready")
                    .with("reason", current.orElse(""))
                    .info();
        }
        unreadyReason = current;
    }

    private JobMetrics.Status status() {
        return status;
    }

    private List<String> knownEntries() {
        return entryAddresses;
    }

    private HttpReply ready() {
        return unreadyReason
                .map(reason -> HttpReply.of(503, "text/plain", reason + "\n"))
                .orElseGet(() -> HttpReply.of(200, "text/plain", "ready\n"));
    }

    private static void logFailure(Throwable failure) {
        LogLine.of("internal-error").with("failure", failure).warn();
        failure.printStackTrace();
    }

    /** Receives changes of the list of live entries. */
    private final class MemberUpdates implements EntryListener {

        @Override
        public void onScan(List<Member> live, long sentNanos) {
            // Heartbeats alone change nothing here.
        }

        @Override
        public void onChange(List<Member> live) {
            entryAddresses = live.stream().map(Member::grpcAddress).toList();
            control.updateEntries(live.stream().map(Member::name).toList());
            LogLine.of("entries-changed").with("live", live.size()).info();
        }
    }

    /** Passes callers' requests to the control thread. */
    private final class LoopJobService implements JobService {

        private final RecentIds acceptedIds = RecentIds.empty();

        @Override
        public boolean hasRoutes() {
            return routes.isKnown();
        }

        @Override
        public Optional<Duration> retryAfterIfShed(String jobId) {
            boolean shed = !acceptedIds.contains(jobId) && shedder.shouldShedNext(status.jobs());
            return shed ? Optional.of(shedder.retryAfter()) : Optional.empty();
        }

        @Override
        public Optional<Route> route(String host, String path) {
            return index.find(host, path);
        }

        @Override
        public CompletionStage<JobResult> submit(
                Route route,
                String jobId,
                String spec,
                List<Step> steps,
                long receivedAt,
                long timeoutMillis,
                CompletionStage<Void> closed) {
            JobCaller caller = new JobCaller(receivedAt, closed.toCompletableFuture());
            acceptedIds.add(jobId);
            long deadline = receivedAt + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
            Job job = new Job(jobId, route, spec, steps, receivedAt, deadline);
            loop.execute(() -> control.submit(job, caller, loop.nowNanos()));
            closed.thenRun(() -> callerExits.add(() -> control.callerDisconnected(jobId, caller, loop.nowNanos())));
            return caller.answer();
        }

        @Override
        public CompletionStage<Boolean> cancel(String jobId) {
            return CompletableFuture.supplyAsync(() -> control.cancel(jobId, loop.nowNanos()), loop);
        }

        @Override
        public CompletionStage<Boolean> isActive(String jobId) {
            return CompletableFuture.supplyAsync(() -> control.isActive(jobId), loop);
        }

        @Override
        public CompletionStage<Integer> queuedJobs(Route route) {
            return CompletableFuture.supplyAsync(() -> control.queued(route), loop);
        }
    }
}
