package org.teaselhook.net.http;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The open connections of one server. Thread-safe.
 */
final class OpenConnections {

    private final int limit;
    private final Set<ServerConnection> open = ConcurrentHashMap.newKeySet();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private volatile boolean stopping;

    OpenConnections(int limit) {
        this.limit = limit;
    }

    /** Adds a connection; returns false if there are now more than the limit. */
    boolean add(ServerConnection connection) {
        open.add(connection);
        return open.size() <= limit;
    }

    int size() {
        return open.size();
    }

    void remove(ServerConnection connection) {
        open.remove(connection);
        completeIfDrained();
    }

    boolean isStopping() {
        return stopping;
    }

    void closeWhenIdle() {
        stopping = true;
        List.copyOf(open).forEach(ServerConnection::closeWhenIdle);
        completeIfDrained();
    }

    void closeAll() {
        stopping = true;
        List.copyOf(open).forEach(ServerConnection::closeNow);
    }

    CompletionStage<Void> drained() {
        return drained;
    }

    private void completeIfDrained() {
        if (stopping && open.isEmpty()) {
            drained.complete(null);
        }
    }
}
