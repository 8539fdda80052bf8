package org.teaselhook.node.entry;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.grpc.Server;
import org.teaselhook.core.claim.LedgerLimits;
import org.teaselhook.core.claim.TicketLimits;
import org.teaselhook.core.claim.Tickets;
import org.teaselhook.core.config.VersionedRules;
import org.teaselhook.core.dispatch.Dispatcher;
import org.teaselhook.core.dispatch.DispatcherSettings;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.member.Member;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.core.table.TableService;
import org.teaselhook.net.http.EventLoops;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.http.HttpLimits;
import org.teaselhook.net.http.HttpServer;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.net.table.FailoverTableService;
import org.teaselhook.net.table.HttpTableService;
import org.teaselhook.node.admin.AdminHandler;
import org.teaselhook.node.caller.SubmissionReader;
import org.teaselhook.node.claim.ClaimService;
import org.teaselhook.node.config.ConfigPoller;
import org.teaselhook.node.config.ConfigStore;
import org.teaselhook.node.config.EntryListener;
import org.teaselhook.node.config.EntryRegistry;
import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.node.grpc.EntryGrpcServer;
import org.teaselhook.node.health.HealthEndpoints;
import org.teaselhook.node.peer.PeerChannels;
import org.teaselhook.node.peer.Peers;
import org.teaselhook.node.session.AgentSessions;
import org.teaselhook.node.session.EntryIdentity;
import org.teaselhook.node.session.EntryLocation;
import org.teaselhook.node.settings.EntrySettings;

/**
 * An entry node. Runs one control thread, one thread for the claim ledger and two I/O threads.
 *
 * <pre>{@code
 * EntryNode entry = EntryNode.start(settings);
 * entry.stop().toCompletableFuture().join();
 * }</pre>
 */
public final class EntryNode implements AutoCloseable {

    private static final int EVENT_LOOP_THREADS = 2;
    private static final int TABLE_CONNECTIONS = 32;
    private static final long CONNECT_TIMEOUT_MILLIS = 500;
    private static final long TABLE_TIMEOUT_MILLIS = 1_000;
    private static final long SLOW_TICK_MILLIS = 100;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long PAUSE_THRESHOLD_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long DRAIN_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long UNREADY_GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final int FRAME_OVERHEAD_BYTES = 1 << 20;

    private final EntrySettings settings;
    private final EventLoops loops = EventLoops.of(EVENT_LOOP_THREADS);
    private final ControlLoop control =
            ControlLoop.start("entry-control", System::nanoTime, EntryNode::logInternalError);
    private final EntryMetrics metrics = new EntryMetrics(this::status);
    private final EntryIdentity self;
    private final HttpClient tableClient;
    private final ClaimService claims;
    private final EntryConfiguration configuration;
    private final Dispatcher dispatcher;
    private final SubmissionRegistry registry;
    private final Admissions admissions;
    private final AgentSessions sessions;
    private final Peers peers;
    private final ConfigPoller poller;
    private final EntryRegistry entryRegistry;
    private final Server grpc;
    private final HttpServer http;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private volatile EntryStatus status;
    private volatile boolean stopping;
    private long stoppingSince;
    private long lastTickNanos;

    private EntryNode(EntrySettings settings) {
        this.settings = settings;
        this.self = new EntryIdentity(
                settings.name(),
                Incarnation.random(new SecureRandom()),
                settings.zone(),
                hostAndPort(settings.advertisedGrpc()));
        this.tableClient = HttpClient.create(loops, TABLE_CONNECTIONS, CONNECT_TIMEOUT_MILLIS);
        TableService table = FailoverTableService.of(settings.table().stream()
                .map(address -> HttpTableService.of(tableClient, address, TABLE_TIMEOUT_MILLIS))
                .toList());
        this.claims = ClaimService.start(self.incarnation(), table, LedgerLimits.standard(), metrics::count);
        this.configuration = new EntryConfiguration(self, control.nowNanos(), this::rulesChanged);
        this.registry = new SubmissionRegistry(
                settings.limits().answerCacheBytes(),
                settings.limits().answerCacheRetention().toNanos());
        EntryOutput output = output();
        this.dispatcher = new Dispatcher(dispatcherSettings(settings), output, new Random());
        this.peers = new Peers(
                self,
                PeerChannels.of(loops.group(), maxMessageBytes()),
                control,
                control::nowNanos,
                configuration,
                configuration);
        this.sessions = new AgentSessions(self, dispatcher, configuration, configuration::document, this::liveEntries);
        output.connect(sessions);
        PeerRequests peerRequests =
                new PeerRequests(self.incarnation(), new GrpcPeerClient(peers, control), configuration::rules);
        UndecidedCopies undecided = new UndecidedCopies();
        RefusedNames refused = new RefusedNames();
        Tickets tickets = Tickets.of(self.incarnation(), new SecureRandom(), TicketLimits.standard());
        this.admissions = new Admissions(
                self.incarnation(),
                control,
                dispatcher,
                registry,
                claims,
                tickets,
                peerRequests,
                new RefusalCheck(self.incarnation(), control, claims, peerRequests, registry, undecided, refused),
                undecided,
                refused,
                configuration::rules,
                this::readinessProblem);
        this.poller = ConfigPoller.of(table, configuration.holder(), configuration.freshness(), control, new Random());
        this.entryRegistry = EntryRegistry.of(table, member(), new MembershipListener(), control, new Random());
        this.status = currentStatus();
        ForwardHandler forwardHandler = new ForwardHandler(self.incarnation(), control, admissions, claims, undecided);
        this.grpc = EntryGrpcServer.start(
                loops.group(),
                settings.grpc(),
                new EntryGrpcService(control, sessions, peers, forwardHandler),
                maxMessageBytes());
        this.http = HttpServer.start(loops, settings.http(), handler(table, peerRequests, tickets), httpLimits());
        begin();
    }

    // -- construction

    private EntryOutput output() {
        return new EntryOutput(
                registry,
                control::nowNanos,
                configuration.freshness()::freshUntilNanos,
                (id, outcome) -> admissions().submissionAnswered(control.nowNanos(), id, outcome),
                (id, outcome) -> registry.cacheLateOutcome(id, outcome, control.nowNanos()));
    }

    private EntryHttpRouter handler(TableService table, PeerRequests peerRequests, Tickets tickets) {
        HealthEndpoints health = new HealthEndpoints(
                metrics.registry(), () -> Optional.of(status.unreadyReason()).filter(reason -> !reason.isEmpty()));
        EntryCluster cluster = new EntryCluster(
                self, control, configuration, sessions, peers, poller::isTableReachable, () -> stopping);
        AdminHandler admin = AdminHandler.of(ConfigStore.of(table, System::currentTimeMillis), cluster);
        CallerHandler callers = new CallerHandler(
                control,
                SubmissionReader.of(
                        settings.defaultCustomer(), settings.limits().maxTasksPerJob()),
                admissions,
                new JobQueries(self.incarnation(), control, admissions, peerRequests, claims),
                tickets);
        return new EntryHttpRouter(health, admin, callers);
    }

    private void begin() {
        settings.peers().forEach(peer -> control.execute(() -> peers.add(control.nowNanos(), hostAndPort(peer))));
        control.execute(() -> lastTickNanos = control.nowNanos());
        control.atDeadline(dispatcher::nextTickAt, this::timersDue);
        control.every(SLOW_TICK_MILLIS, this::slowTick);
        control.every(HEARTBEAT_MILLIS, this::heartbeat);
        LogLine.of("entry-started")
                .with("name", self.name())
                .with("incarnation", self.incarnation())
                .with("zone", self.zone())
                .with("http-port", http.port())
                .with("grpc-port", grpc.getPort())
                .info();
    }

    private static DispatcherSettings dispatcherSettings(EntrySettings settings) {
        return DispatcherSettings.of(settings.zone(), settings.placementPolicy());
    }

    private Member member() {
        return new Member(
                self.name(), self.incarnation(), self.zone(), self.address(), hostAndPort(settings.http()), 0);
    }

    private int maxMessageBytes() {
        return settings.limits().maxBodyBytes() + FRAME_OVERHEAD_BYTES;
    }

    private HttpLimits httpLimits() {
        HttpLimits standard = HttpLimits.standard();
        return HttpLimits.of(
                settings.limits().maxBodyBytes(), settings.limits().maxConnections(), standard.idleTimeoutMillis());
    }

    private static String hostAndPort(java.net.InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    // -- factories

    /**
     * Starts an entry.
     *
     * @param settings the settings
     * @return the running entry
     * @throws IllegalStateException if one of its addresses cannot be bound
     */
    public static EntryNode start(EntrySettings settings) {
        return new EntryNode(Objects.requireNonNull(settings, "settings is null"));
    }

    // -- accessors

    /**
     * Returns the port for callers and operators.
     *
     * @return the port
     */
    public int httpPort() {
        return http.port();
    }

    /**
     * Returns the port for agents and other entries.
     *
     * @return the port
     */
    public int grpcPort() {
        return grpc.getPort();
    }

    // -- events on the control thread

    private EntryStatus status() {
        return status;
    }

    private Admissions admissions() {
        return admissions;
    }

    /** Sends the rules to agents before the dispatcher can issue orders that depend on them. */
    private void rulesChanged(VersionedRules next) {
        sessions.pushConfig();
        peers.pushConfig();
        dispatcher.applyRules(control.nowNanos(), next.rules(), next.version().value());
    }

    private List<EntryLocation> liveEntries() {
        List<EntryLocation> result = new ArrayList<>();
        result.add(new EntryLocation(self.address(), self.zone()));
        peers.live().forEach(peer -> result.add(new EntryLocation(peer.address(), peer.zone())));
        return result;
    }

    private final class MembershipListener implements EntryListener {

        @Override
        public void onScan(List<Member> live, long sentNanos) {
            configuration.entriesListed(live, sentNanos);
        }

        @Override
        public void onChange(List<Member> live) {
            membersChanged(live);
        }
    }

    private void membersChanged(List<Member> live) {
        long now = control.nowNanos();
        List<String> addresses =
                live.stream().map(Member::grpcAddress).collect(Collectors.toCollection(ArrayList::new));
        addresses.forEach(address -> peers.add(now, address));
        settings.peers().forEach(peer -> addresses.add(hostAndPort(peer)));
        peers.retain(now, addresses);
    }

    private Optional<Problem> readinessProblem() {
        if (stopping) {
            return Optional.of(Problem.of(ProblemKind.STOPPING, "the entry is stopping"));
        }
        return configuration.readinessProblem(control.nowNanos());
    }

    private void timersDue(long nowNanos) {
        detectPause(nowNanos);
        dispatcher.tick(nowNanos);
    }

    private void detectPause(long nowNanos) {
        if (nowNanos - lastTickNanos > PAUSE_THRESHOLD_NANOS) {
            resumedAfterPause(nowNanos);
        }
        lastTickNanos = nowNanos;
    }

    /** Restarts the timeouts of peers and agents: during the pause their frames arrived but were not read. */
    private void resumedAfterPause(long nowNanos) {
        LogLine.of("entry-paused")
                .with("ms", TimeUnit.NANOSECONDS.toMillis(nowNanos - lastTickNanos))
                .warn();
        dispatcher.setServing(nowNanos, configuration.mayStart(nowNanos));
        sessions.resumedAfterPause(nowNanos);
        peers.resumedAfterPause(nowNanos);
    }

    private void slowTick(long nowNanos) {
        detectPause(nowNanos);
        poller.tick(nowNanos);
        peers.observe(nowNanos, knowsAllClaims(nowNanos));
        entryRegistry.tick(nowNanos);
        sessions.checkTimeouts(nowNanos);
        dispatcher.setServing(nowNanos, configuration.mayStart(nowNanos));
        status = currentStatus();
        if (stopping) {
            closeIfDrained(nowNanos);
        }
    }

    private boolean knowsAllClaims(long nowNanos) {
        List<Incarnation> listed = entryRegistry.liveEntries().stream()
                .map(Member::incarnation)
                .filter(incarnation -> !incarnation.equals(self.incarnation()))
                .collect(Collectors.toList());
        return claims.isCurrent() && entryRegistry.isCurrent(nowNanos) && peers.areLive(listed);
    }

    private void heartbeat(long nowNanos) {
        sessions.sendHeartbeats(nowNanos);
        peers.heartbeatAll(nowNanos);
    }

    private EntryStatus currentStatus() {
        return new EntryStatus(
                dispatcher.stats(),
                configuration.mayStart(control.nowNanos()),
                stopping,
                registry.size(),
                sessions.connectedAgents().size(),
                peers.live().size(),
                peers.allKnownLive(),
                configuration.current().version().value());
    }

    // -- stopping

    /**
     * Stops gracefully: refuses new submissions, lets those in progress finish within the drain timeout, and closes
     * connections.
     *
     * @return a stage that completes when the entry is closed
     */
    public CompletionStage<Void> stop() {
        control.execute(this::leave);
        return stopped;
    }

    private void leave() {
        if (stopping) {
            return;
        }
        stopping = true;
        stoppingSince = control.nowNanos();
        LogLine.of("entry-stopping").with("running", registry.size()).info();
        dispatcher.stopAdmission(stoppingSince);
        sessions.leave(stoppingSince);
        peers.leave(stoppingSince);
        entryRegistry.deregister();
    }

    /**
     * Keeps connections open until the load balancer has had time to notice that this entry is not ready, because
     * requests may still be in flight.
     */
    private void closeIfDrained(long nowNanos) {
        if (nowNanos - stoppingSince < UNREADY_GRACE_NANOS) {
            return;
        }
        http.stopAccepting();
        boolean idle =
                registry.size() == 0 && http.drained().toCompletableFuture().isDone();
        if (idle || nowNanos - stoppingSince > DRAIN_TIMEOUT_NANOS) {
            LogLine.of("entry-stopped").with("drained", idle).info();
            new Thread(this::close, "entry-close").start();
        }
    }

    /** Closes immediately: connections are dropped and submissions in progress are not answered. */
    @Override
    public void close() {
        control.close();
        claims.close();
        peers.close();
        grpc.shutdownNow();
        http.close();
        tableClient.close();
        loops.close();
        stopped.complete(null);
    }

    private static void logInternalError(Throwable failure) {
        LogLine.of("internal-error").with("failure", failure).warn();
        failure.printStackTrace();
    }
}
