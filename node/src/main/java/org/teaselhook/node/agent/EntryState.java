package org.teaselhook.node.agent;

import java.util.Collection;
import java.util.Optional;

import org.agrona.collections.Long2ObjectHashMap;
import org.teaselhook.wire.AgentFrame;
import org.teaselhook.wire.TaskResult;

/**
 * What an agent holds for one run of an entry: the present connection, and results that are not acknowledged. Confined
 * to the control thread.
 */
final class EntryState {

    private final String name;
    private final Long2ObjectHashMap<TaskResult> kept = new Long2ObjectHashMap<>();
    private EntryStream stream;
    private boolean parting;
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

    Collection<TaskResult> kept() {
        return kept.values();
    }

    boolean isParting() {
        return parting;
    }

    /** Whether no task of the entry runs, and it has acknowledged every result. */
    boolean isQuiet() {
        return running == 0 && kept.isEmpty();
    }

    boolean isAbandoned(long nowNanos, long keepNanos) {
        return !isConnected() && running == 0 && nowNanos - disconnectedNanos > keepNanos;
    }

    // -- updates

    void connect(EntryStream opened) {
        stream = opened;
        parting = false;
    }

    void parting(boolean parts) {
        parting = parts;
    }

    void disconnect(long nowNanos) {
        stream = null;
        disconnectedNanos = nowNanos;
    }

    void begin() {
        running++;
    }

    void end() {
        running--;
    }

    void keep(TaskResult result) {
        kept.put(result.getDispatch(), result);
    }

    void acknowledge(long dispatch) {
        kept.remove(dispatch);
    }

    void send(AgentFrame frame) {
        if (stream != null) {
            stream.send(frame);
        }
    }
}
