package org.teaselhook.standin.target;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * Tracks the task in progress on each connection and reports tasks whose connection closes. Thread-safe.
 */
final class ConnectionTasks {

    private final Map<CompletionStage<Void>, Optional<TaskStart>> current = new ConcurrentHashMap<>();
    private final Consumer<TaskStart> onAbandoned;

    ConnectionTasks(Consumer<TaskStart> onAbandoned) {
        this.onAbandoned = onAbandoned;
    }

    /** Records the task that starts on a connection; a connection runs one task at a time. */
    void begin(CompletionStage<Void> callerDisconnected, TaskStart start) {
        if (current.put(callerDisconnected, Optional.of(start)) == null) {
            callerDisconnected.thenRun(() -> close(callerDisconnected));
        }
    }

    /** Records that the connection's task was answered. */
    void end(CompletionStage<Void> callerDisconnected) {
        current.computeIfPresent(callerDisconnected, (key, start) -> Optional.empty());
    }

    private void close(CompletionStage<Void> callerDisconnected) {
        Optional<TaskStart> start = current.remove(callerDisconnected);
        if (start != null) {
            start.ifPresent(onAbandoned);
        }
    }
}
