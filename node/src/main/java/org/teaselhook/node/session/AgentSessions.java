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

    /** Time without a frame after which a connection is closed. */
    public static final long CONNECTION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Time without a frame after which an agent is considered lost and its session is removed. */
    public static final long AGENT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(6);

    private final EntryIdentity self;
    private final Dispatcher dispatcher;
    private final SessionListener listener;
    private final Supplier<ConfigDocument> config;
    private final Supplier<List<EntryLocation>> entries;
    private final Map<Incarnation, AgentSession> sessions = new HashMap<>();
    private boolean leaving;
    private boolean reclaimAnswered;

    /**
     * Creates an empty set of sessions.
     *
     * @param self the identity of this entry
     * @param dispatcher receives the agents' connection changes, grants, results and refusals
     * @param listener receives the configuration versions and documents that agents report
     * @param config the configuration in force, version 0 while none is known
     * @param entries all live entries, including this one
     */
    public AgentSessions(
            EntryIdentity self,
            Dispatcher dispatcher,
            SessionListener listener,
            Supplier<ConfigDocument> config,
            Supplier<List<EntryLocation>> entries) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
        this.config = Objects.requireNonNull(config, "config is null");
        this.entries = Objects.requireNonNull(entries, "entries is null");
    }

    // -- frames from agents

    /**
     * Processes a frame after the hello of a stream; frames of a replaced stream are ignored.
     *
     * @param nowNanos the current time on the monotonic clock
     * @param agent the agent that sent the hello on the stream
     * @param stream the stream on which the frame was received
     * @param frame the frame
     */
    public void frameReceived(long nowNanos, Incarnation agent, StreamObserver<EntryFrame> stream, AgentFrame frame) {
        AgentSession session = sessions.get(agent);
        if (session == null || !session.isCurrentStream(stream)) {
            return;
        }
        session.frameReceived(nowNanos);
        switch (frame.getFrameCase()) {
            case HEARTBEAT -> heartbeatReceived(nowNanos, session, frame);
            case GRANT -> {
                dispatcher.openSlotsReported(nowNanos, agent, frame.getGrant().getOpenSlots());
                dispatcher.slotsGranted(nowNanos, agent, frame.getGrant().getSlots());
            }
            case RECLAIM ->
                reclaimReceived(nowNanos, session, frame.getReclaim().getSlots());
            case RESULT -> resultReceived(nowNanos, agent, frame.getResult());
            case REFUSAL -> refusalReceived(nowNanos, agent, frame.getRefusal());
            case CONFIG -> listener.configReceived(frame.getConfig());
            default -> logUnexpectedFrame(session, frame);
        }
    }

    /**
     * Processes the hello, which is the first frame of a stream.
     *
     * @param nowNanos the current time on the monotonic clock
     * @param stream the stream
     * @param hello the identity and state of the agent
     */
    public void agentConnected(long nowNanos, StreamObserver<EntryFrame> stream, AgentHello hello) {
        AgentInfo info = Frames.info(hello);
        AgentSession session =
                sessions.computeIfAbsent(info.incarnation(), incarnation -> new AgentSession(info, nowNanos));
        AgentClockEstimate clock = new AgentClockEstimate(hello.getState().getAgentNanos(), nowNanos);
        if (!session.connect(stream, hello.getConnection(), clock, nowNanos)) {
            SessionStreams.close(stream);
            return;
        }
        long[] inProgress = dispatcher.agentConnected(nowNanos, info);
        LogLine.of("agent-connected")
                .with("agent", info.name())
                .with("incarnation", info.incarnation())
                .with("zone", info.zone())
                .with("slots", info.slots())
                .with("in-progress", inProgress.length)
                .info();
        session.send(helloFrame(nowNanos, session, inProgress));
        session.send(configFrame());
        applyHeartbeat(nowNanos, session, hello.getState().getAgentNanos(), Frames.state(hello.getState()));
    }

    /**
     * Records that a stream has ended.
     *
     * @param nowNanos the current time on the monotonic clock
     * @param agent the agent that sent the hello on the stream
     * @param stream the stream
     */
    public void streamEnded(long nowNanos, Incarnation agent, StreamObserver<EntryFrame> stream) {
        AgentSession session = sessions.get(agent);
        if (session != null && session.isCurrentStream(stream)) {
            closeConnection(nowNanos, session, "closed");
        }
    }

    private void heartbeatReceived(long nowNanos, AgentSession session, AgentFrame frame) {
        var heartbeat = frame.getHeartbeat();
        dispatcher.openSlotsReported(nowNanos, session.info().incarnation(), heartbeat.getOpenSlots());
        applyHeartbeat(nowNanos, session, heartbeat.getAgentNanos(), Frames.state(heartbeat));
    }

    private void applyHeartbeat(long nowNanos, AgentSession session, long agentNanos, AgentState state) {
        session.heartbeatReceived(agentNanos, state, nowNanos);
        if (listener.agentReportedVersion(nowNanos, session.info(), state.configVersion())) {
            session.send(Frames.configRequest());
        }
        dispatcher.heartbeatReceived(nowNanos, session.info().incarnation(), state);
        if (state.configVersion() < config.get().getVersion()) {
            session.send(configFrame());
        }
    }

    private void resultReceived(long nowNanos, Incarnation agent, TaskResult result) {
        dispatcher.openSlotsReported(nowNanos, agent, result.getOpenSlots());
        applyGrantedSlots(nowNanos, agent, result.getGrantedSlots());
        dispatcher.resultReceived(
                nowNanos,
                agent,
                result.getDispatch(),
                Frames.status(result),
                Frames.answer(result),
                result.getRunNanos());
    }

    private void refusalReceived(long nowNanos, Incarnation agent, TaskRefusal refusal) {
        dispatcher.openSlotsReported(nowNanos, agent, refusal.getOpenSlots());
        applyGrantedSlots(nowNanos, agent, refusal.getGrantedSlots());
        dispatcher.refusalReceived(nowNanos, agent, refusal.getDispatch(), Frames.reason(refusal.getReason()));
    }

    /** Answers exactly once, as the agent expects a reply even if no slot is returned. */
    private void reclaimReceived(long nowNanos, AgentSession session, int slots) {
        reclaimAnswered = false;
        dispatcher.reclaimGrants(nowNanos, session.info().incarnation(), slots);
        if (!reclaimAnswered) {
            session.send(Frames.grantReturn(0));
        }
    }

    private void applyGrantedSlots(long nowNanos, Incarnation agent, int slots) {
        if (slots > 0) {
            dispatcher.slotsGranted(nowNanos, agent, slots);
        }
    }

    private static void logUnexpectedFrame(AgentSession session, AgentFrame frame) {
        LogLine.of("frame-ignored")
                .with("agent", session.info().name())
                .with("frame", frame.getFrameCase())
                .warn();
    }

    // -- frames to agents

    /**
     * Sends a dispatch to its agent; does nothing if the agent has no session.
     *
     * @param order the dispatch
     * @param submission the submission ID that is passed to the target
     */
    public void dispatch(DispatchOrder order, String submission) {
        AgentSession session = sessions.get(order.agent());
        if (session != null) {
            session.send(Frames.dispatch(order, session.clock(), submission));
        }
    }

    /**
     * Asks an agent to cancel a dispatch.
     *
     * @param agent the agent
     * @param number the dispatch number
     */
    public void cancel(Incarnation agent, long number) {
        send(agent, Frames.cancel(number));
    }

    /**
     * Acknowledges an agent's result or refusal of a dispatch.
     *
     * @param agent the agent
     * @param number the dispatch number
     */
    public void ack(Incarnation agent, long number) {
        send(agent, Frames.ack(number));
    }

    /**
     * Returns granted slots to an agent.
     *
     * @param agent the agent
     * @param slots the number of slots
     */
    public void returnGrants(Incarnation agent, int slots) {
        reclaimAnswered = true;
        send(agent, Frames.grantReturn(slots));
    }

    /**
     * Sends an unscheduled heartbeat, so that the agent learns the number of wanted slots without delay.
     *
     * @param nowNanos the current time on the monotonic clock
     * @param agent the agent
     */
    public void sendHeartbeat(long nowNanos, Incarnation agent) {
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
     * Announces to every agent that this entry is leaving.
     *
     * @param nowNanos the current time on the monotonic clock
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

    private EntryFrame helloFrame(long nowNanos, AgentSession session, long[] inProgress) {
        EntryHello.Builder hello = EntryHello.newBuilder()
                .setName(self.name())
                .setIncarnation(self.incarnation().value())
                .setZone(self.zone())
                .setState(buildHeartbeat(nowNanos, session));
        for (long number : inProgress) {
            hello.addInProgress(number);
        }
        return EntryFrame.newBuilder().setHello(hello).build();
    }

    private EntryFrame heartbeatFrame(long nowNanos, AgentSession session) {
        return EntryFrame.newBuilder()
                .setHeartbeat(buildHeartbeat(nowNanos, session))
                .build();
    }

    private EntryHeartbeat buildHeartbeat(long nowNanos, AgentSession session) {
        EntryHeartbeat.Builder heartbeat = EntryHeartbeat.newBuilder()
                .setEchoAgentNanos(session.clock().agentNanos())
                .setConfigVersion(config.get().getVersion())
                .setWantedSlots(dispatcher.wantedSlots(nowNanos, session.info().incarnation()))
                .setLeaving(leaving);
        session.entryList().addTo(heartbeat, entries.get());
        return heartbeat.build();
    }

    private EntryFrame configFrame() {
        return EntryFrame.newBuilder().setConfig(config.get()).build();
    }

    // -- timers

    /**
     * Sends a heartbeat to every agent.
     *
     * @param nowNanos the current time on the monotonic clock
     */
    public void sendHeartbeats(long nowNanos) {
        sessions.values().forEach(session -> session.send(heartbeatFrame(nowNanos, session)));
    }

    /**
     * Closes connections that have timed out, and removes lost agents.
     *
     * @param nowNanos the current time on the monotonic clock
     */
    public void checkTimeouts(long nowNanos) {
        List<AgentSession> lost = new ArrayList<>();
        for (AgentSession session : sessions.values()) {
            if (session.nanosSinceLastFrame(nowNanos) > CONNECTION_TIMEOUT_NANOS && session.isConnected()) {
                closeConnection(nowNanos, session, "silent");
            }
            if (session.nanosSinceLastFrame(nowNanos) > AGENT_TIMEOUT_NANOS) {
                lost.add(session);
            }
        }
        lost.forEach(session -> removeAgent(nowNanos, session));
    }

    /**
     * Restarts all timeouts after a pause of this process: frames sent meanwhile have not been read yet.
     *
     * @param nowNanos the current time on the monotonic clock
     */
    public void resumedAfterPause(long nowNanos) {
        sessions.values().forEach(session -> session.frameReceived(nowNanos));
    }

    private void closeConnection(long nowNanos, AgentSession session, String reason) {
        session.disconnect();
        LogLine.of("agent-silent")
                .with("agent", session.info().name())
                .with("incarnation", session.info().incarnation())
                .with("reason", reason)
                .warn();
        dispatcher.agentUnresponsive(nowNanos, session.info().incarnation());
    }

    private void removeAgent(long nowNanos, AgentSession session) {
        sessions.remove(session.info().incarnation());
        LogLine.of("agent-gone")
                .with("agent", session.info().name())
                .with("incarnation", session.info().incarnation())
                .warn();
        dispatcher.agentLost(nowNanos, session.info().incarnation());
    }

    // -- accessors

    /**
     * Returns the connected agents with the state that they last reported.
     *
     * @return the connected agents
     */
    public Collection<ConnectedAgent> connectedAgents() {
        return sessions.values().stream()
                .filter(AgentSession::isConnected)
                .map(session -> new ConnectedAgent(session.info(), session.state()))
                .collect(Collectors.toList());
    }
}
