package org.teaselhook.net.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;

/**
 * The connection pool of one server. State is guarded by this object's monitor; no callback runs while it is held.
 */
final class ClientPool {

    private static final int MAX_REPLY_BYTES = 64 * 1024 * 1024;
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Bootstrap bootstrap;
    private final InetSocketAddress address;
    private final int maxConnections;
    private final Deque<ClientConnection> idle = new ArrayDeque<>();
    private final Set<ClientConnection> open = new HashSet<>();
    private final Deque<PendingCall> waiting = new ArrayDeque<>();
    private int connecting;
    private boolean closed;

    ClientPool(Bootstrap bootstrap, InetSocketAddress address, int maxConnections) {
        this.bootstrap = bootstrap;
        this.address = address;
        this.maxConnections = maxConnections;
    }

    CompletionStage<HttpResult> send(HttpCall call, long timeoutMillis, long sendBy) {
        long timesOutAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        PendingCall pending = new PendingCall(call, sendBy - timesOutAt < 0 ? sendBy : timesOutAt);
        var timer = bootstrap
                .config()
                .group()
                .schedule(() -> timeOut(pending, timeoutMillis), timeoutMillis, TimeUnit.MILLISECONDS);
        pending.result().whenComplete((result, failure) -> timer.cancel(false));
        assign(pending);
        return pending.result();
    }

    // -- assigning calls to connections

    private void assign(PendingCall pending) {
        ClientConnection available;
        boolean connect = false;
        synchronized (this) {
            if (closed) {
                available = null;
            } else {
                available = pollIdle(System.nanoTime());
                if (available == null) {
                    waiting.add(pending);
                    connect = tryReserveConnection();
                }
            }
        }
        if (available != null) {
            available.send(pending);
        } else if (connect) {
            connect();
        } else {
            failIfClosed(pending);
        }
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    private void failIfClosed(PendingCall pending) {
        if (isClosed()) {
            pending.notSent("the client is closed");
        }
    }

    private ClientConnection pollIdle(long nowNanos) {
        while (!idle.isEmpty()) {
            ClientConnection candidate = idle.pollLast();
            if (candidate.isActive() && nowNanos - candidate.idleSinceNanos() < MAX_IDLE_NANOS) {
                return candidate;
            }
            candidate.close();
        }
        return null;
    }

    private boolean tryReserveConnection() {
        if (open.size() + connecting >= maxConnections || connecting >= waiting.size()) {
            return false;
        }
        connecting++;
        return true;
    }

    private void connect() {
        ChannelFuture connected = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec())
                                .addLast(new HttpObjectAggregator(MAX_REPLY_BYTES))
                                .addLast(new ClientConnection(ClientPool.this, address));
                    }
                })
                .connect(address);
        connected.addListener(done -> {
            if (!done.isSuccess()) {
                connectFailed(String.valueOf(done.cause().getMessage()));
            }
        });
    }

    private void connectFailed(String reason) {
        List<PendingCall> failed;
        synchronized (this) {
            connecting--;
            failed = open.isEmpty() ? List.copyOf(waiting) : List.of();
            waiting.removeAll(failed);
        }
        failed.forEach(pending -> pending.notSent("cannot connect to " + address + ": " + reason));
    }

    // -- connection events

    void connectionOpened(ClientConnection connection) {
        boolean accepted;
        synchronized (this) {
            connecting--;
            accepted = !closed;
            if (accepted) {
                open.add(connection);
            }
        }
        if (accepted) {
            release(connection);
        } else {
            connection.close();
        }
    }

    void release(ClientConnection connection) {
        PendingCall next;
        synchronized (this) {
            next = pollWaiting();
            if (next == null) {
                connection.markIdle(System.nanoTime());
                idle.add(connection);
            }
        }
        if (next != null) {
            connection.send(next);
        }
    }

    void connectionClosed(ClientConnection connection) {
        boolean connect;
        synchronized (this) {
            open.remove(connection);
            idle.remove(connection);
            connect = !waiting.isEmpty() && !closed && tryReserveConnection();
        }
        if (connect) {
            connect();
        }
    }

    private PendingCall pollWaiting() {
        PendingCall next = waiting.poll();
        while (next != null && next.isDone()) {
            next = waiting.poll();
        }
        return next;
    }

    private void timeOut(PendingCall pending, long timeoutMillis) {
        boolean unsent;
        synchronized (this) {
            unsent = waiting.remove(pending);
        }
        if (unsent) {
            pending.notSent("no free connection to " + address + " within " + timeoutMillis + " ms");
        } else {
            pending.lost("no response from " + address + " within " + timeoutMillis + " ms");
        }
    }

    void close() {
        List<ClientConnection> connections;
        List<PendingCall> unsent;
        synchronized (this) {
            closed = true;
            connections = new ArrayList<>(open);
            unsent = List.copyOf(waiting);
            waiting.clear();
        }
        connections.forEach(ClientConnection::close);
        unsent.forEach(pending -> pending.notSent("the client is closed"));
    }
}
