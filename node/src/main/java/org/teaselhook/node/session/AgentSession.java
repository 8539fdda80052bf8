package org.teaselhook.node.session;

import io.grpc.stub.StreamObserver;
import org.teaselhook.core.dispatch.AgentInfo;
import org.teaselhook.core.dispatch.AgentState;
import org.teaselhook.wire.EntryFrame;

/**
 * A session with one incarnation of an agent; it spans reconnects. Confined to the control thread.
 */
final class AgentSession {

    private final AgentInfo info;
    private StreamObserver<EntryFrame> stream;
    private EntryListUpdates entryList = new EntryListUpdates();
    private long connection;
    private AgentClockEstimate clock;
    private AgentState state;
    private long lastReceivedNanos;
    private boolean connected;

    AgentSession(AgentInfo info, long nowNanos) {
        this.info = info;
        this.lastReceivedNanos = nowNanos;
    }

    // -- connections

    /** Replaces the connection; returns false if the new one is older than the current one. */
    boolean connect(
            StreamObserver<EntryFrame> newStream, long newConnection, AgentClockEstimate newClock, long nowNanos) {
        if (connected && Long.compareUnsigned(newConnection, connection) < 0) {
            return false;
        }
        disconnect();
        stream = newStream;
        connection = newConnection;
        clock = newClock;
        lastReceivedNanos = nowNanos;
        entryList = new EntryListUpdates();
        connected = true;
        return true;
    }

    /** Closes the current connection; returns false if there is none. */
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

    boolean isCurrentStream(StreamObserver<EntryFrame> candidate) {
        return connected && stream == candidate;
    }

    void send(EntryFrame frame) {
        if (connected) {
            SessionStreams.send(stream, frame);
        }
    }

    // -- received frames

    void frameReceived(long nowNanos) {
        lastReceivedNanos = nowNanos;
    }

    void heartbeatReceived(long agentNanos, AgentState newState, long nowNanos) {
        clock = clock.withTimestamp(agentNanos, nowNanos);
        state = newState;
        lastReceivedNanos = nowNanos;
    }

    // -- accessors

    EntryListUpdates entryList() {
        return entryList;
    }

    AgentInfo info() {
        return info;
    }

    AgentClockEstimate clock() {
        return clock;
    }

    AgentState state() {
        return state;
    }

    long nanosSinceLastFrame(long nowNanos) {
        return nowNanos - lastReceivedNanos;
    }
}
