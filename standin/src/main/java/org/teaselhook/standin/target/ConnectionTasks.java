package org.teaselhook.standin.target;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * The task in progress on each connection, told when its connection closes. Thread-safe.
 */
final class ConnectionTasks {

    private final Map<CompletionStage<Void>, Optional<TaskStart>> current = new ConcurrentHashMap<>();
    private final Consumer<TaskStart> abandoned;

    ConnectionTasks(Consumer<TaskStart> abandoned) {
        this.abandoned = abandoned;
    }

    /** Notes the task that now runs on a connection; a connection runs one at a time. */
    void begin(CompletionStage<Void> connectionClosed, TaskStart start) {
        if (current.put(connectionClosed, Optional.of(start)) == null) {
            connectionClosed.thenRun(() -> close(connectionClosed));
        }
    }

    /** Notes that the connection's task was answered. */
    void end(CompletionStage<Void> connectionClosed) {
        current.computeIfPresent(connectionClosed, (key, start) -> Optional.empty());
    }

    private void close(CompletionStage<Void> connectionClosed) {
        Optional<TaskStart> start = current.remove(connectionClosed);
        if (start != null) {
            start.ifPresent(abandoned);
        }
    }
}
