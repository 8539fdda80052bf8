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
import org.teaselhook.core.route.RouteGap;
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
 * The connections of agents. Confined to the control thread.
 */
final class RunSessions {

    /** An agent that is silent for so long has replaced the connection, in ns. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_SILENCE_MILLIS);

    private final String name;
    private final Incarnation entry;
    private final JobDispatcher dispatcher;
    private final Supplier<Routes> routes;
    private final Supplier<List<String>> entries;
    private final Consumer<Routes> learned;
    private final Map<Incarnation, RunSession> sessions = new HashMap<>();
    private final Map<FrameConnection<RunCommand>, RunSession> byStream = new HashMap<>();
    private final RouteGap gap = RouteGap.none();
    private volatile Pulse pulse = new Pulse(0, Set.of(), false);

    RunSessions(
            String name,
            Incarnation entry,
            JobDispatcher dispatcher,
            Supplier<Routes> routes,
            Supplier<List<String>> entries,
            Consumer<Routes> learned) {
        this.name = Objects.requireNonNull(name, "name is null");
        this.entry = Objects.requireNonNull(entry, "entry is null");
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher is null");
        this.routes = Objects.requireNonNull(routes, "routes is null");
        this.entries = Objects.requireNonNull(entries, "entries is null");
        this.learned = Objects.requireNonNull(learned, "learned is null");
    }

    /** Returns the answer to a report that is a heartbeat; also called on traffic threads. */
    Optional<RunCommand> answerTo(RunReport report) {
        return Optional.of(report.getState())
                .filter(WorkerState::getHeartbeat)
                .map(beat -> JobFrames.pulse(beat.getAgentNanos(), pulse, List.of()));
    }

    // -- connections

    private void connected(long nowNanos, FrameConnection<RunCommand> stream, RunHello hello) {
        Incarnation agent = Incarnation.of(hello.getIncarnation());
        RunSession session = new RunSession(agent, hello.getName(), stream, nowNanos);
        RunSession older = sessions.put(agent, session);
        byStream.put(stream, session);
        if (older != null) {
            byStream.remove(older.stream());
            older.stream().close("replaced by a newer connection");
        }
        List<Long> orders = dispatcher.ordersAt(agent);
        LogLine.of("agent-connected")
                .with("agent", hello.getName())
                .with("incarnation", agent)
                .with("orders", orders.size())
                .info();
        session.send(JobFrames.greeting(name, entry, orders));
        dispatcher.connected(nowNanos, agent, hello.getName(), hello.getZone());
    }

    void ended(long nowNanos, FrameConnection<RunCommand> stream, String reason) {
        RunSession session = byStream.get(stream);
        if (session != null) {
            drop(nowNanos, session, reason);
        }
    }

    private void drop(long nowNanos, RunSession session, String reason) {
        sessions.remove(session.agent());
        byStream.remove(session.stream());
        LogLine.of("agent-lost")
                .with("agent", session.name())
                .with("incarnation", session.agent())
                .with("reason", reason)
                .with("orders", dispatcher.ordersAt(session.agent()).size())
                .warn();
        session.stream().close(reason);
        dispatcher.disconnected(nowNanos, session.agent());
    }

    void dropSilent(long nowNanos) {
        List.copyOf(sessions.values()).stream()
                .filter(session -> nowNanos - session.heardAt() > SILENCE_NANOS)
                .forEach(session -> drop(nowNanos, session, "silent"));
    }

    // -- frames

    /**
     * Takes what an agent sent, in order, and places waiting tasks once for all of it. A report that makes no sense
     * ends its connection, and nothing else.
     *
     * @param answered whether the heartbeats among the reports were answered on the traffic thread
     */
    void received(long nowNanos, FrameConnection<RunCommand> stream, List<RunReport> reports, boolean answered) {
        dispatcher.together(nowNanos, () -> {
            try {
                reports.forEach(report -> take(nowNanos, stream, report));
                if (!answered) {
                    reports.forEach(report -> answerTo(report).ifPresent(stream::send));
                }
            } catch (RuntimeException e) {
                LogLine.of("agent-message-invalid")
                        .with("remote", stream.remote())
                        .with("failure", e)
                        .warn();
                stream.close("invalid message");
                ended(nowNanos, stream, "invalid message");
            }
        });
    }

    private void take(long nowNanos, FrameConnection<RunCommand> stream, RunReport report) {
        RunSession session = byStream.get(stream);
        if (session != null) {
            take(nowNanos, session, report);
        } else if (report.hasHello()) {
            connected(nowNanos, stream, report.getHello());
        }
    }

    private void take(long nowNanos, RunSession session, RunReport report) {
        switch (report.getReportCase()) {
            case STATE -> state(nowNanos, session, report.getState());
            case END -> ended(nowNanos, report.getEnd());
            case REFUSAL -> refused(nowNanos, report.getRefusal());
            case ROUTES -> learned(RouteMessages.fromDocument(report.getRoutes()));
            case ROUTES_WANTED -> sendRoutes(session, report.getRoutesWanted().getHeldVersion());
            default ->
                LogLine.of("frame-ignored")
                        .with("frame", report.getReportCase())
                        .warn();
        }
    }

    private void state(long nowNanos, RunSession session, WorkerState state) {
        session.heard(nowNanos, state.getAgentNanos());
        if (gap.shouldAsk(nowNanos, routes.get(), state.getRoutesVersion())) {
            LogLine.of("routes-asked")
                    .with("agent", session.name())
                    .with("held", routes.get().version())
                    .with("heard", state.getRoutesVersion())
                    .info();
            session.send(JobFrames.routesWanted(routes.get().version()));
        }
        if (state.getHeartbeat()) {
            List<String> known = session.takeEntries(nowNanos, entries.get());
            if (!known.isEmpty()) {
                session.send(JobFrames.pulse(state.getAgentNanos(), pulse, known));
            }
            dispatcher.entries(Math.max(1, state.getEntries()));
        }
        dispatcher.heard(nowNanos, session.agent(), JobFrames.view(state));
        if (state.getProgressCount() > 0) {
            dispatcher.progress(nowNanos, JobFrames.forecasts(state));
        }
    }

    private void ended(long nowNanos, RunEnd end) {
        dispatcher.ended(nowNanos, end.getOrder(), JobFrames.outcome(end.getOutcome()), end.getRunMillis());
    }

    private void refused(long nowNanos, RunRefusal refusal) {
        dispatcher.refused(nowNanos, refusal.getOrder(), JobFrames.refusal(refusal.getReason()));
    }

    // -- sending

    void order(PlacedRun run) {
        RunSession session = sessions.get(run.agent());
        if (session != null) {
            boolean sameSpec = session.repeatsSpec(run.spec());
            session.send(JobFrames.order(run, session.agentNanos(), session.onAgentClock(run.startBy()), sameSpec));
        }
    }

    void stop(Incarnation agent, long number) {
        RunSession session = sessions.get(agent);
        if (session != null) {
            session.send(JobFrames.stop(number));
        }
    }

    private void learned(Routes offered) {
        gap.received(offered.version());
        learned.accept(offered);
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
