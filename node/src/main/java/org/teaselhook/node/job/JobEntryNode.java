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
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.config.EntryRegistry;
import org.teaselhook.node.config.MemberListener;
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
 * An entry for jobs whose tasks ask for amounts: one control thread and one traffic thread.
 */
public final class JobEntryNode implements AutoCloseable {

    /** How often deadlines are looked at, in ms: a fraction of the shortest wait that an objective allows. */
    private static final long TICK_MILLIS = 20;

    /** How often readiness and due reads are looked at, in ms: a fraction of the balancer's second. */
    private static final long SLOW_TICK_MILLIS = 100;

    /** The greatest message of an agent, in bytes: the routes of some thousand services and paths. */
    private static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    /** The greatest body of a request, in bytes: the limit in the operators' configurations so far. */
    private static final int MAX_BODY_BYTES = 256 * 1024;

    /** The greatest number of callers' connections: the descriptors of an entry VM, less those of its agents. */
    private static final int MAX_CONNECTIONS = 3_000;

    /** How long a connection may be idle, in ms: longer than callers pause. */
    private static final long IDLE_MILLIS = 60_000;

    /** How long connections stay open after SIGTERM, in ns: the balancer needs two failed checks, a second apart. */
    private static final long UNREADY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** How long jobs may go on after SIGTERM, in ns: less than the time until the process is killed. */
    private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(5_300);

    private final JobEntrySettings settings;
    private final EventLoops loops;
    private final ControlLoop loop;
    private final JobEntryControl control;
    private final RoutePoller poller;
    private final EntryRegistry members;
    private final AgentStreams agentStreams;
    private final FrameServer agents;
    private final HttpServer ready;
    private final HttpServer callers;
    private final JobMetrics metrics = new JobMetrics(this::status);
    private final MetricsServer metricsServer;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final PauseDetector pauses = PauseDetector.startingAt(System.nanoTime(), System.currentTimeMillis());
    private volatile Routes routes = Routes.none();
    private volatile RouteIndex index = RouteIndex.empty();
    private volatile JobMetrics.Status status = JobMetrics.Status.INITIAL;
    private final LoadShedder shedder = LoadShedder.withInterval(SLOW_TICK_MILLIS);
    private volatile Optional<String> unready = Optional.of("starting");
    private List<String> entryAddresses = List.of();
    private long leftAt = Long.MAX_VALUE;
    private boolean measuring;
    private long measuredAt;

    private JobEntryNode(
            JobEntrySettings settings,
            EventLoops loops,
            TableService table,
            RouteSource source,
            Function<JobService, HttpHandler> front) {
        this.settings = settings;
        this.loops = loops;
        this.loop = ControlLoop.start("entry-control", System::nanoTime, JobEntryNode::failed);
        Incarnation incarnation = Incarnation.random(new Random());
        this.control = new JobEntryControl(
                settings.name(), settings.zone(), incarnation, this::knownEntries, loop::nowNanos, metrics);
        this.poller = RoutePoller.of(source, loop, control::read);
        this.members = EntryRegistry.of(table, member(incarnation), new Members(), loop, new Random());
        this.agentStreams = new AgentStreams(loop, control.sessions());
        this.agents = FrameServer.start(
                loops,
                settings.agents(),
                Outbox.of(loop),
                new FrameProtocol<>(RunReport.parser(), MAX_FRAME_BYTES),
                agentStreams);
        HttpLimits limits = HttpLimits.of(MAX_BODY_BYTES, MAX_CONNECTIONS, IDLE_MILLIS);
        this.callers = HttpServer.start(loops, settings.callers(), front.apply(new Jobs()), limits);
        this.ready =
                HttpServer.start(loops, settings.ready(), call -> CompletableFuture.completedFuture(ready()), limits);
        this.metricsServer = MetricsServer.start(loops, settings.metrics(), metrics.registry());
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
     * @param loops the traffic threads, closed with the entry
     * @param table the table service, where entries list themselves
     * @param source where the operators' decisions are read
     * @param front makes the handler of callers' requests
     * @return the running entry
     * @throws IllegalStateException if one of its addresses cannot be bound
     */
    public static JobEntryNode start(
            JobEntrySettings settings,
            EventLoops loops,
            TableService table,
            RouteSource source,
            Function<JobService, HttpHandler> front) {
        Objects.requireNonNull(settings, "settings is null");
        return new JobEntryNode(settings, loops, table, source, front);
    }

    private Member member(Incarnation incarnation) {
        String agentsAddress = SocketAddresses.format(settings.agents());
        String httpAddress = SocketAddresses.format(settings.callers());
        return new Member(settings.name(), incarnation, settings.zone(), agentsAddress, httpAddress, 0);
    }

    /**
     * Takes new settings over. None of an entry's settings can change while it runs; a difference is logged.
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
     * Stops gracefully: the balancer is told to send no more, and jobs in progress end and are answered.
     *
     * @return a stage that completes when the entry is closed
     */
    public CompletionStage<Void> stop() {
        loop.execute(this::leave);
        return stopped;
    }

    private void leave() {
        leftAt = loop.nowNanos();
        unready = Optional.of("stopping");
        LogLine.of("entry-stopping").with("jobs", control.jobs()).info();
        control.leave();
        members.leave();
    }

    private void closeIfDrained(long nowNanos) {
        if (nowNanos - leftAt < UNREADY_NANOS) {
            return;
        }
        callers.stopAccepting();
        boolean drained =
                control.jobs() == 0 && callers.drained().toCompletableFuture().isDone();
        if ((drained || nowNanos - leftAt > DRAIN_NANOS) && !stopped.isDone()) {
            LogLine.of("entry-stopped").with("drained", drained).info();
            new Thread(this::close, "entry-close").start();
        }
    }

    @Override
    public void close() {
        loop.close();
        agents.close();
        callers.close();
        ready.close();
        metricsServer.close();
        loops.close();
        stopped.complete(null);
    }

    // -- events on the control thread

    private void noticePause(long nowNanos) {
        if (pauses.hasPaused(nowNanos, System.currentTimeMillis())) {
            LogLine.of("entry-paused").warn();
            control.resumedAfterPause(nowNanos);
        }
    }

    private void tick(long nowNanos) {
        noticePause(nowNanos);
        agentStreams.tick(nowNanos);
        control.tick(nowNanos);
        noteRoutes(control.routes());
    }

    private void noteRoutes(Routes now) {
        if (now != routes) {
            index = RouteIndex.of(now.routes());
            routes = now;
        }
    }

    /** Measures how long the threads let work wait: a token goes to the traffic thread and back to this one. */
    private void measureLag(long nowNanos) {
        if (measuring) {
            shedder.recordLag(nowNanos - measuredAt);
            return;
        }
        measuring = true;
        measuredAt = nowNanos;
        loops.group()
                .execute(() -> loop.execute(() -> {
                    measuring = false;
                    shedder.recordLag(loop.nowNanos() - measuredAt);
                }));
    }

    private void slowTick(long nowNanos) {
        measureLag(nowNanos);
        poller.tick(nowNanos);
        status = control.status(nowNanos, shedder.share());
        members.tick(nowNanos);
        if (leftAt != Long.MAX_VALUE) {
            closeIfDrained(nowNanos);
        } else {
            noteReadiness(control.unready());
        }
    }

    private void noteReadiness(Optional<String> now) {
        if (!now.equals(unready)) {
            LogLine.of(now.isEmpty() ? "entry-ready" : "entry-unready")
                    .with("reason", now.orElse(""))
                    .info();
        }
        unready = now;
    }

    private JobMetrics.Status status() {
        return status;
    }

    private List<String> knownEntries() {
        return entryAddresses;
    }

    private HttpReply ready() {
        return unready.map(reason -> HttpReply.of(503, "text/plain", reason + "\n"))
                .orElseGet(() -> HttpReply.of(200, "text/plain", "ready\n"));
    }

    private static void failed(Throwable failure) {
        LogLine.of("internal-error").with("failure", failure).warn();
        failure.printStackTrace();
    }

    /** Takes the list of live entries. */
    private final class Members implements MemberListener {

        @Override
        public void listed(List<Member> live, long sentNanos) {
            // Beats alone change nothing here.
        }

        @Override
        public void changed(List<Member> live) {
            entryAddresses = live.stream().map(Member::grpcAddress).toList();
            control.entries(live.stream().map(Member::name).toList());
            LogLine.of("entries-changed").with("live", live.size()).info();
        }
    }

    /** Hands callers' requests to the control thread. */
    private final class Jobs implements JobService {

        private final RecentIds taken = RecentIds.empty();

        @Override
        public boolean knowsRoutes() {
            return routes.isKnown();
        }

        @Override
        public Optional<Duration> shed(String jobId) {
            boolean sheds = !taken.contains(jobId) && shedder.shouldShedNext(status.jobs());
            return sheds ? Optional.of(shedder.retryAfter()) : Optional.empty();
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
                long timeoutMillis,
                CompletionStage<Void> closed) {
            CompletableFuture<JobResult> answer = new CompletableFuture<>();
            taken.add(jobId);
            long arrivedAt = loop.nowNanos();
            long deadline = arrivedAt + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
            Job job = new Job(jobId, route, spec, steps, arrivedAt, deadline);
            loop.execute(() -> {
                noticePause(loop.nowNanos());
                control.submit(job, answer, loop.nowNanos());
            });
            closed.thenRun(() -> loop.execute(() -> control.callerLeft(jobId, answer, loop.nowNanos())));
            return answer;
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
        public CompletionStage<Integer> queued(Route route) {
            return CompletableFuture.supplyAsync(() -> control.queued(route), loop);
        }
    }
}
