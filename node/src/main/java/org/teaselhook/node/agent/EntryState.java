package org.teaselhook.node.agent;

import java.util.Collection;
import java.util.Optional;

import org.agrona.collections.Long2ObjectHashMap;
import org.teaselhook.wire.AgentFrame;
import org.teaselhook.wire.TaskResult;

/**
 * An agent's state for one incarnation of an entry: the current connection, the number of running tasks, and the
 * results that are not acknowledged. Confined to the control thread.
 */
final class EntryState {

    private final String name;
    private final Long2ObjectHashMap<TaskResult> unacknowledgedResults = new Long2ObjectHashMap<>();
    private EntryStream stream;
    private boolean draining;
    private int running;
    private long disconnectedNanos;

    EntryState(String name) {
        this.name = name;
    }

    // -- accessors

    String name() {
        return name;
    }

    boolean isConnected() {
        return stream != null;
    }

    Optional<EntryStream> stream() {
        return Optional.ofNullable(stream);
    }

    Collection<TaskResult> unacknowledgedResults() {
        return unacknowledgedResults.values();
    }

    boolean isDraining() {
        return draining;
    }

    /** Whether no task of the entry is running, and it has acknowledged every result. */
    boolean isDrained() {
        return running == 0 && unacknowledgedResults.isEmpty();
    }

    boolean isExpired(long nowNanos, long retentionNanos) {
        return !isConnected() && running == 0 && nowNanos - disconnectedNanos > retentionNanos;
    }

    // -- updates

    void connect(EntryStream newStream) {
        stream = newStream;
        draining = false;
    }

    void setDraining(boolean isDraining) {
        draining = isDraining;
    }

    void disconnect(long nowNanos) {
        stream = null;
        disconnectedNanos = nowNanos;
    }

    void taskStarted() {
        running++;
    }

    void taskEnded() {
        running--;
    }

    void retain(TaskResult result) {
        unacknowledgedResults.put(result.getDispatch(), result);
    }

    void acknowledge(long dispatch) {
        unacknowledgedResults.remove(dispatch);
    }

    void send(AgentFrame frame) {
        if (stream != null) {
            stream.send(frame);
        }
    }
}
