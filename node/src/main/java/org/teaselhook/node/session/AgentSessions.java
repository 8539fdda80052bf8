package org.teaselhook.node.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.grpc.stub.StreamObserver;
import org.teaselhook.core.dispatch.AgentInfo;
import org.teaselhook.core.dispatch.AgentState;
import org.teaselhook.core.dispatch.DispatchOrder;
import org.teaselhook.core.dispatch.Dispatcher;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.wire.AgentFrame;
import org.teaselhook.wire.AgentHello;
import org.teaselhook.wire.ConfigDocument;
import org.teaselhook.wire.EntryFrame;
import org.teaselhook.wire.EntryHeartbeat;
import org.teaselhook.wire.EntryHello;
import org.teaselhook.wire.TaskRefusal;
import org.teaselhook.wire.TaskResult;

/**
 * The sessions with all agents. Confined to the control thread.
 */
public final class AgentSessions {

    /** Silence after which a connection is given up. */
    public static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Silence after which an agent is taken as lost for good. */
    public static final long GONE_NANOS = TimeUnit.SECONDS.toNanos(6);

    private final EntryIdentity self;
    private final Dispatcher dispatcher;
    private final SessionEvents events;
    private final Supplier<ConfigDocument> config;
    private final Supplier<List<EntryPlace>> entries;
    private final Map<Incarnation, AgentSession> sessions = new HashMap<>();
    private boolean leaving;
    private boolean reclaimAnswered;

    /**
     * Creates an empty set of sessions.
     *
     * @param self who this entry is
     * @param dispatcher told of agents, grants and results
     * @param events told of the rest
     * @param config the configuration in force, version 0 while there is none
     * @param entries all live entries, this one among them
     */
    public AgentSessions(
            EntryIdentity self,
            Dispatcher dispatcher,
            SessionEvents events,
            Supplier<ConfigDocument> config,
            Supplier<List<EntryPlace>> entries) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher is null");
        this.events = Objects.requireNonNull(events, "events is null");
        this.config = Objects.requireNonNull(config, "config is null");
        this.entries = Objects.requireNonNull(entries, "entries is null");
    }

    // -- frames from agents

    /**
     * Takes a frame from a stream that has said who it is.
     *
     * @param nowNanos the present time
     * @param agent the agent that said hello on the stream
     * @param stream the stream, to tell it from those that were replaced
     * @param frame the frame
     */
    public void received(long nowNanos, Incarnation agent, StreamObserver<EntryFrame> stream, AgentFrame frame) {
        AgentSession session = sessions.get(agent);
        if (session == null || !session.uses(stream)) {
            return;
        }
        session.heard(nowNanos);
        switch (frame.getFrameCase()) {
            case HEARTBEAT -> heartbeat(nowNanos, session, frame);
            case GRANT -> {
                dispatcher.openSlots(nowNanos, agent, frame.getGrant().getOpenSlots());
                dispatcher.granted(nowNanos, agent, frame.getGrant().getSlots());
            }
            case RECLAIM -> reclaim(nowNanos, session, frame.getReclaim().getSlots());
            case RESULT -> result(nowNanos, agent, frame.getResult());
            case REFUSAL -> refusal(nowNanos, agent, frame.getRefusal());
            case CONFIG -> events.configReceived(frame.getConfig());
            default -> unexpected(session, frame);
        }
    }

    /**
     * Takes the first frame of a stream.
     *
     * @param nowNanos the present time
     * @param stream the stream
     * @param hello who the agent is
     */
    public void connected(long nowNanos, StreamObserver<EntryFrame> stream, AgentHello hello) {
        AgentInfo info = Frames.info(hello);
        AgentSession session =
                sessions.computeIfAbsent(info.incarnation(), incarnation -> new AgentSession(info, nowNanos));
        AgentClock clock = new AgentClock(hello.getState().getAgentNanos(), nowNanos);
        if (!session.connect(stream, hello.getConnection(), clock, nowNanos)) {
            SessionStreams.close(stream);
            return;
        }
        long[] inProgress = dispatcher.connected(nowNanos, info);
        LogLine.of("agent-connected")
                .with("agent", info.name())
                .with("incarnation", info.incarnation())
                .with("zone", info.zone())
                .with("slots", info.slots())
                .with("in-progress", inProgress.length)
                .info();
        session.send(hello(nowNanos, session, inProgress));
        session.send(configFrame());
        update(nowNanos, session, hello.getState().getAgentNanos(), Frames.state(hello.getState()));
    }

    /**
     * Notes that a stream has ended.
     *
     * @param nowNanos the present time
     * @param agent the agent that said hello on the stream
     * @param stream the stream
     */
    public void disconnected(long nowNanos, Incarnation agent, StreamObserver<EntryFrame> stream) {
        AgentSession session = sessions.get(agent);
        if (session != null && session.uses(stream)) {
            silence(nowNanos, session, "closed");
        }
    }

    private void heartbeat(long nowNanos, AgentSession session, AgentFrame frame) {
        var heartbeat = frame.getHeartbeat();
        dispatcher.openSlots(nowNanos, session.info().incarnation(), heartbeat.getOpenSlots());
        update(nowNanos, session, heartbeat.getAgentNanos(), Frames.state(heartbeat));
    }

    private void update(long nowNanos, AgentSession session, long agentNanos, AgentState state) {
        session.heartbeat(agentNanos, state, nowNanos);
        if (events.agentSawVersion(nowNanos, session.info(), state.configVersion())) {
            session.send(Frames.configRequest());
        }
        dispatcher.updated(nowNanos, session.info().incarnation(), state);
        if (state.configVersion() < config.get().getVersion()) {
            session.send(configFrame());
        }
    }

    private void result(long nowNanos, Incarnation agent, TaskResult result) {
        dispatcher.openSlots(nowNanos, agent, result.getOpenSlots());
        grantAlong(nowNanos, agent, result.getGrantedSlots());
        dispatcher.result(
                nowNanos,
                agent,
                result.getDispatch(),
                Frames.status(result),
                Frames.answer(result),
                result.getRunNanos());
    }

    private void refusal(long nowNanos, Incarnation agent, TaskRefusal refusal) {
        dispatcher.openSlots(nowNanos, agent, refusal.getOpenSlots());
        grantAlong(nowNanos, agent, refusal.getGrantedSlots());
        dispatcher.refused(nowNanos, agent, refusal.getDispatch(), Frames.reason(refusal.getReason()));
    }

    /** The agent waits for exactly one answer, also when no slot comes back. */
    private void reclaim(long nowNanos, AgentSession session, int slots) {
        reclaimAnswered = false;
        dispatcher.reclaim(nowNanos, session.info().incarnation(), slots);
        if (!reclaimAnswered) {
            session.send(Frames.grantReturn(0));
        }
    }

    private void grantAlong(long nowNanos, Incarnation agent, int slots) {
        if (slots > 0) {
            dispatcher.granted(nowNanos, agent, slots);
        }
    }

    private static void unexpected(AgentSession session, AgentFrame frame) {
        LogLine.of("frame-ignored")
                .with("agent", session.info().name())
                .with("frame", frame.getFrameCase())
                .warn();
    }

    // -- frames to agents

    /**
     * Sends an order.
     *
     * @param order the order
     * @param submission the name of the submission, as the target sees it
     */
    public void dispatch(DispatchOrder order, String submission) {
        AgentSession session = sessions.get(order.agent());
        if (session != null) {
            session.send(Frames.dispatch(order, session.clock(), submission));
        }
    }

    /**
     * Asks an agent to drop an order.
     *
     * @param agent the agent
     * @param number the dispatch number
     */
    public void cancel(Incarnation agent, long number) {
        send(agent, Frames.cancel(number));
    }

    /**
     * Tells an agent that its word on an order was taken.
     *
     * @param agent the agent
     * @param number the dispatch number
     */
    public void ack(Incarnation agent, long number) {
        send(agent, Frames.ack(number));
    }

    /**
     * Returns granted slots.
     *
     * @param agent the agent
     * @param slots the number of slots
     */
    public void returnGrants(Incarnation agent, int slots) {
        reclaimAnswered = true;
        send(agent, Frames.grantReturn(slots));
    }

    /**
     * Sends a heartbeat out of turn, so that an agent learns at once what this entry wants.
     *
     * @param nowNanos the present time
     * @param agent the agent
     */
    public void heartbeatNow(long nowNanos, Incarnation agent) {
        AgentSession session = sessions.get(agent);
        if (session != null) {
            session.send(heartbeatFrame(nowNanos, session));
        }
    }

    /** Sends the configuration in force to every agent. */
    public void pushConfig() {
        EntryFrame frame = configFrame();
        sessions.values().forEach(session -> session.send(frame));
    }

    /**
     * Tells every agent that this entry is leaving.
     *
     * @param nowNanos the present time
     */
    public void leave(long nowNanos) {
        leaving = true;
        sessions.values().forEach(session -> session.send(heartbeatFrame(nowNanos, session)));
    }

    private void send(Incarnation agent, EntryFrame frame) {
        AgentSession session = sessions.get(agent);
        if (session != null) {
            session.send(frame);
        }
    }

    private EntryFrame hello(long nowNanos, AgentSession session, long[] inProgress) {
        EntryHello.Builder hello = EntryHello.newBuilder()
                .setName(self.name())
                .setIncarnation(self.incarnation().value())
                .setZone(self.zone())
                .setState(heartbeat(nowNanos, session));
        for (long number : inProgress) {
            hello.addInProgress(number);
        }
        return EntryFrame.newBuilder().setHello(hello).build();
    }

    private EntryFrame heartbeatFrame(long nowNanos, AgentSession session) {
        return EntryFrame.newBuilder()
                .setHeartbeat(heartbeat(nowNanos, session))
                .build();
    }

    private EntryHeartbeat heartbeat(long nowNanos, AgentSession session) {
        EntryHeartbeat.Builder heartbeat = EntryHeartbeat.newBuilder()
                .setEchoAgentNanos(session.clock().agentNanos())
                .setConfigVersion(config.get().getVersion())
                .setWantedSlots(dispatcher.wantedSlots(nowNanos, session.info().incarnation()))
                .setLeaving(leaving);
        session.names().addTo(heartbeat, entries.get());
        return heartbeat.build();
    }

    private EntryFrame configFrame() {
        return EntryFrame.newBuilder().setConfig(config.get()).build();
    }

    // -- time

    /**
     * Sends a heartbeat to every agent.
     *
     * @param nowNanos the present time
     */
    public void heartbeatAll(long nowNanos) {
        sessions.values().forEach(session -> session.send(heartbeatFrame(nowNanos, session)));
    }

    /**
     * Gives up silent connections and lost agents.
     *
     * @param nowNanos the present time
     */
    public void checkSilence(long nowNanos) {
        List<AgentSession> lost = new ArrayList<>();
        for (AgentSession session : sessions.values()) {
            if (session.silentNanos(nowNanos) > SILENT_NANOS && session.isConnected()) {
                silence(nowNanos, session, "silent");
            }
            if (session.silentNanos(nowNanos) > GONE_NANOS) {
                lost.add(session);
            }
        }
        lost.forEach(session -> remove(nowNanos, session));
    }

    /**
     * Forgives all silence: this process itself did not run, and what was sent meanwhile is still to be read.
     *
     * @param nowNanos the present time
     */
    public void resumedAfterPause(long nowNanos) {
        sessions.values().forEach(session -> session.heard(nowNanos));
    }

    private void silence(long nowNanos, AgentSession session, String reason) {
        session.disconnect();
        LogLine.of("agent-silent")
                .with("agent", session.info().name())
                .with("incarnation", session.info().incarnation())
                .with("reason", reason)
                .warn();
        dispatcher.silent(nowNanos, session.info().incarnation());
    }

    private void remove(long nowNanos, AgentSession session) {
        sessions.remove(session.info().incarnation());
        LogLine.of("agent-gone")
                .with("agent", session.info().name())
                .with("incarnation", session.info().incarnation())
                .warn();
        dispatcher.gone(nowNanos, session.info().incarnation());
    }

    // -- accessors

    /**
     * Returns the agents that are connected, with what they last said.
     *
     * @return the agents' views
     */
    public Collection<ConnectedAgent> connectedAgents() {
        return sessions.values().stream()
                .filter(AgentSession::isConnected)
                .map(session -> new ConnectedAgent(session.info(), session.state()))
                .collect(Collectors.toList());
    }
}
