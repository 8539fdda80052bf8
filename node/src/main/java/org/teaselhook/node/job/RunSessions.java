package org.teaselhook.node.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.job.JobDispatcher;
import org.teaselhook.core.job.PlacedRun;
import org.teaselhook.core.lease.LeaseTimes;
import org.teaselhook.core.route.RouteFetchBackoff;
import org.teaselhook.core.route.Routes;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.frame.FrameConnection;
import org.teaselhook.node.route.RouteMessages;
import org.teaselhook.wire.RunCommand;
import org.teaselhook.wire.RunEnd;
import org.teaselhook.wire.RunHello;
import org.teaselhook.wire.RunRefusal;
import org.teaselhook.wire.RunReport;
import org.teaselhook.wire.WorkerState;

/**
 * The sessions of connected agents. Confined to the control thread.
 */
final class RunSessions {

    /** Time without a state report that ends a session, in ns: by then, a live agent has replaced the connection. */
    private static final long AGENT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_TIMEOUT_MILLIS);

    private final String name;
    private final Incarnation entry;
    private final JobDispatcher dispatcher;
    private final Supplier<Routes> routes;
    private final Supplier<List<String>> entries;
    private final Consumer<Routes> routesConsumer;
    private final Map<Incarnation, RunSession> sessions = new HashMap<>();
    private final Map<FrameConnection<RunCommand>, RunSession> byStream = new HashMap<>();
    private final RouteFetchBackoff fetchBackoff = RouteFetchBackoff.initial();
    private volatile Pulse pulse = new Pulse(0, Set.of(), false);

    RunSessions(
            String name,
            Incarnation entry,
            JobDispatcher dispatcher,
            Supplier<Routes> routes,
            Supplier<List<String>> entries,
            Consumer<Routes> routesConsumer) {
        this.name = Objects.requireNonNull(name, "name is null");
        this.entry = Objects.requireNonNull(entry, "entry is null");
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher is null");
        this.routes = Objects.requireNonNull(routes, "routes is null");
        this.entries = Objects.requireNonNull(entries, "entries is null");
        this.routesConsumer = Objects.requireNonNull(routesConsumer, "routesConsumer is null");
    }

    /** Returns the answer to a report that is a heartbeat, empty for any other. Also called on I/O threads. */
    Optional<RunCommand> replyTo(RunReport report) {
        return Optional.of(report.getState())
                .filter(WorkerState::getHeartbeat)
                .map(state -> JobFrames.pulse(state.getAgentNanos(), pulse, List.of()));
    }

    // -- connections

    private void agentConnected(long nowNanos, FrameConnection<RunCommand> stream, RunHello hello) {
        Incarnation agent = Incarnation.of(hello.getIncarnation());
        RunSession session = new RunSession(agent, hello.getName(), stream, nowNanos);
        RunSession older = sessions.put(agent, session);
        byStream.put(stream, session);
        if (older != null) {
            byStream.remove(older.stream());
            older.stream().close("replaced by a newer connection");
        }
        List<Long> orders = dispatcher.ordersInProgress(agent);
        LogLine.of("agent-connected")
                .with("agent", hello.getName())
                .with("incarnation", agent)
                .with("orders", orders.size())
                .info();
        session.send(JobFrames.greeting(name, entry, orders));
        dispatcher.agentConnected(nowNanos, agent, hello.getName(), hello.getZone());
    }

    void streamEnded(long nowNanos, FrameConnection<RunCommand> stream, String reason) {
        RunSession session = byStream.get(stream);
        if (session != null) {
            drop(nowNanos, session, reason);
        }
    }

    private void drop(long nowNanos, RunSession session, String reason) {
        sessions.remove(session.agent());
        byStream.remove(session.stream());
        // The I/O thread answers heartbeats until then, and the last answer counts.
        session.stream().close(reason);
        LogLine.of("agent-lost")
                .with("agent", session.name())
                .with("incarnation", session.agent())
                .with("reason", reason)
                .with("orders", dispatcher.ordersInProgress(session.agent()).size())
                .warn();
        dispatcher.agentDisconnected(session.lastContactAt(), session.agent());
    }

    void dropTimedOut(long nowNanos) {
        List.copyOf(sessions.values()).stream()
                .filter(session -> nowNanos - session.lastContactAt() > AGENT_TIMEOUT_NANOS)
                .forEach(session -> drop(nowNanos, session, "silent"));
    }

    // -- frames

    /**
     * Handles an agent's reports in order, and places waiting tasks once for all of them. An invalid report closes its
     * connection and has no other effect.
     *
     * @param heartbeatsAnswered whether the heartbeats among the reports were answered on the I/O thread
     */
    void received(
            long nowNanos, FrameConnection<RunCommand> stream, List<RunReport> reports, boolean heartbeatsAnswered) {
        dispatcher.batch(nowNanos, () -> {
            try {
                reports.forEach(report -> handle(nowNanos, stream, report));
                if (!heartbeatsAnswered) {
                    reports.forEach(report -> replyTo(report).ifPresent(stream::send));
                }
            } catch (RuntimeException e) {
                LogLine.of("agent-message-invalid")
                        .with("remote", stream.remote())
                        .with("failure", e)
                        .warn();
                stream.close("invalid message");
                streamEnded(nowNanos, stream, "invalid message");
            }
        });
    }

    private void handle(long nowNanos, FrameConnection<RunCommand> stream, RunReport report) {
        RunSession session = byStream.get(stream);
        if (session != null) {
            handle(nowNanos, session, report);
        } else if (report.hasHello()) {
            agentConnected(nowNanos, stream, report.getHello());
        }
    }

    private void handle(long nowNanos, RunSession session, RunReport report) {
        switch (report.getReportCase()) {
            case STATE -> handleState(nowNanos, session, report.getState());
            case END -> handleEnd(nowNanos, report.getEnd());
            case REFUSAL -> handleRefusal(nowNanos, report.getRefusal());
            case ROUTES -> routesReceived(RouteMessages.fromDocument(report.getRoutes()));
            case ROUTES_WANTED -> sendRoutes(session, report.getRoutesWanted().getHeldVersion());
            default ->
                LogLine.of("frame-ignored")
                        .with("frame", report.getReportCase())
                        .warn();
        }
    }

    private void handleState(long nowNanos, RunSession session, WorkerState state) {
        session.recordState(nowNanos, state.getAgentNanos());
        if (fetchBackoff.shouldFetch(nowNanos, routes.get(), state.getRoutesVersion())) {
            LogLine.of("routes-asked")
                    .with("agent", session.name())
                    .with("held", routes.get().version())
                    .with("heard", state.getRoutesVersion())
                    .info();
            session.send(JobFrames.routeRequest(routes.get().version()));
        }
        if (state.getHeartbeat()) {
            List<String> toSend = session.entriesToSend(nowNanos, entries.get());
            if (!toSend.isEmpty()) {
                session.send(JobFrames.pulse(state.getAgentNanos(), pulse, toSend));
            }
            dispatcher.updateEntryCount(Math.max(1, state.getEntries()));
        }
        dispatcher.workerReported(nowNanos, session.agent(), JobFrames.view(state));
        if (state.getProgressCount() > 0) {
            dispatcher.progressReported(nowNanos, JobFrames.forecasts(state));
        }
    }

    private void handleEnd(long nowNanos, RunEnd end) {
        dispatcher.runEnded(nowNanos, end.getOrder(), JobFrames.outcome(end.getOutcome()), end.getRunMillis());
    }

    private void handleRefusal(long nowNanos, RunRefusal refusal) {
        dispatcher.orderRefused(nowNanos, refusal.getOrder(), JobFrames.refusal(refusal.getReason()));
    }

    // -- sending

    void sendOrder(PlacedRun run) {
        RunSession session = sessions.get(run.agent());
        if (session != null) {
            boolean sameSpec = session.repeatsSpec(run.spec());
            session.send(JobFrames.order(run, session.lastAgentNanos(), session.toAgentClock(run.startBy()), sameSpec));
        }
    }

    void sendStop(Incarnation agent, long number) {
        RunSession session = sessions.get(agent);
        if (session != null) {
            session.send(JobFrames.stop(number));
        }
    }

    private void routesReceived(Routes offered) {
        fetchBackoff.received(offered.version());
        routesConsumer.accept(offered);
    }

    private void sendRoutes(RunSession session, long heldVersion) {
        Routes held = routes.get();
        if (held.isKnown() && held.version() > heldVersion) {
            session.send(JobFrames.routes(held));
        }
    }

    void routesChanged() {
        pulse = new Pulse(routes.get().version(), routes.get().zonesOut(), pulse.leaving());
    }

    void leave() {
        pulse = new Pulse(pulse.routesVersion(), pulse.zonesOut(), true);
    }
}
