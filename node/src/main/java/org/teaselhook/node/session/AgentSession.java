package org.teaselhook.node.session;

import io.grpc.stub.StreamObserver;
import org.teaselhook.core.dispatch.AgentInfo;
import org.teaselhook.core.dispatch.AgentState;
import org.teaselhook.wire.EntryFrame;

/**
 * The session with one run of an agent, which outlives its connections. Confined to the control thread.
 */
final class AgentSession {

    private final AgentInfo info;
    private StreamObserver<EntryFrame> stream;
    private EntryNames names = new EntryNames();
    private long connection;
    private AgentClock clock;
    private AgentState state;
    private long lastHeardNanos;
    private boolean connected;

    AgentSession(AgentInfo info, long nowNanos) {
        this.info = info;
        this.lastHeardNanos = nowNanos;
    }

    // -- connections

    /** Replaces the connection, unless the new one is older than the present one. */
    boolean connect(StreamObserver<EntryFrame> newStream, long newConnection, AgentClock newClock, long nowNanos) {
        if (connected && Long.compareUnsigned(newConnection, connection) < 0) {
            return false;
        }
        disconnect();
        stream = newStream;
        connection = newConnection;
        clock = newClock;
        lastHeardNanos = nowNanos;
        names = new EntryNames();
        connected = true;
        return true;
    }

    /** Ends the present connection from this side; true if there was one. */
    boolean disconnect() {
        if (!connected) {
            return false;
        }
        connected = false;
        SessionStreams.close(stream);
        return true;
    }

    boolean isConnected() {
        return connected;
    }

    boolean uses(StreamObserver<EntryFrame> candidate) {
        return connected && stream == candidate;
    }

    void send(EntryFrame frame) {
        if (connected) {
            SessionStreams.send(stream, frame);
        }
    }

    // -- what was heard

    void heard(long nowNanos) {
        lastHeardNanos = nowNanos;
    }

    void heartbeat(long agentNanos, AgentState newState, long nowNanos) {
        clock = clock.with(agentNanos, nowNanos);
        state = newState;
        lastHeardNanos = nowNanos;
    }

    // -- accessors

    EntryNames names() {
        return names;
    }

    AgentInfo info() {
        return info;
    }

    AgentClock clock() {
        return clock;
    }

    AgentState state() {
        return state;
    }

    long silentNanos(long nowNanos) {
        return nowNanos - lastHeardNanos;
    }
}
