package org.teaselhook.net.http;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;

/**
 * An HTTP/1.1 client that keeps a bounded pool of connections to each server. Thread-safe.
 */
public final class HttpClient implements AutoCloseable {

    private final EventLoops loops;
    private final boolean ownsLoops;
    private final int maxConnectionsPerHost;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, ClientPool> pools = new ConcurrentHashMap<>();

    private HttpClient(EventLoops loops, boolean ownsLoops, int maxConnectionsPerHost, long connectTimeoutMillis) {
        this.loops = loops;
        this.ownsLoops = ownsLoops;
        this.maxConnectionsPerHost = maxConnectionsPerHost;
        this.bootstrap = loops.clientBootstrap(Math.toIntExact(connectTimeoutMillis));
    }

    // -- factories

    /**
     * Returns a client with one I/O thread of its own.
     *
     * @param maxConnectionsPerHost the maximum number of connections to one server
     * @param connectTimeoutMillis the connect timeout
     * @return the client
     */
    public static HttpClient create(int maxConnectionsPerHost, long connectTimeoutMillis) {
        return new HttpClient(EventLoops.of(1), true, maxConnectionsPerHost, connectTimeoutMillis);
    }

    /**
     * Returns a client on shared event loops.
     *
     * @param loops the event loops, which are not closed with the client
     * @param maxConnectionsPerHost the maximum number of connections to one server
     * @param connectTimeoutMillis the connect timeout
     * @return the client
     */
    public static HttpClient create(EventLoops loops, int maxConnectionsPerHost, long connectTimeoutMillis) {
        return new HttpClient(loops, false, maxConnectionsPerHost, connectTimeoutMillis);
    }

    // -- sending

    /**
     * Sends a request. Its timeout includes the wait for a free connection.
     *
     * @param address the server's address
     * @param call the request
     * @param timeoutMillis the longest time until the complete response has arrived
     * @return the outcome; never completes exceptionally
     */
    public CompletionStage<HttpResult> send(InetSocketAddress address, HttpCall call, long timeoutMillis) {
        return send(address, call, timeoutMillis, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis));
    }

    /**
     * Sends a request, but not later than a given time: a process that was stalled may come to it when its effect is no
     * longer wanted.
     *
     * @param address the server's address
     * @param call the request
     * @param timeoutMillis the longest time until the complete response has arrived
     * @param sendBy the latest time at which the request is written, as of {@link System#nanoTime}
     * @return the outcome; never completes exceptionally
     */
    public CompletionStage<HttpResult> send(InetSocketAddress address, HttpCall call, long timeoutMillis, long sendBy) {
        Objects.requireNonNull(call, "call is null");
        return pools.computeIfAbsent(address, this::pool).send(call, timeoutMillis, sendBy);
    }

    private ClientPool pool(InetSocketAddress address) {
        return new ClientPool(bootstrap, address, maxConnectionsPerHost);
    }

    /** Closes every connection; requests in flight complete as {@link HttpResult.Lost}. */
    @Override
    public void close() {
        pools.values().forEach(ClientPool::close);
        if (ownsLoops) {
            loops.close();
        }
    }
}
