package org.teaselhook.net.http;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongConsumer;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.EventExecutor;
import org.teaselhook.net.log.LogLine;

/**
 * An HTTP/1.1 server that passes complete requests to a handler and answers the requests of a connection in order.
 */
public final class HttpServer implements AutoCloseable {

    /** Reads of a connection in one turn: enough to empty the largest receive buffer of Linux, 6 MiB. */
    private static final int MAX_READS = 256;

    private final EventLoops loops;
    private final boolean ownsLoops;
    private final OpenConnections connections;
    private final Channel listener;

    private HttpServer(EventLoops loops, boolean ownsLoops, OpenConnections connections, Channel listener) {
        this.loops = loops;
        this.ownsLoops = ownsLoops;
        this.connections = connections;
        this.listener = listener;
    }

    // -- factories

    /**
     * Starts a server with two I/O threads of its own.
     *
     * @param bind the address to listen on; port 0 picks a free one
     * @param handler the handler of requests
     * @param limits the server's limits
     * @return the running server
     * @throws IllegalStateException if the address cannot be bound
     */
    public static HttpServer start(InetSocketAddress bind, HttpHandler handler, HttpLimits limits) {
        return start(EventLoops.of(2), true, ListenSocket.bind(bind), handler, limits);
    }

    /**
     * Starts a server on shared event loops.
     *
     * @param loops the event loops, which are not closed with the server
     * @param bind the address to listen on; port 0 picks a free one
     * @param handler the handler of requests
     * @param limits the server's limits
     * @return the running server
     * @throws IllegalStateException if the address cannot be bound
     */
    public static HttpServer start(EventLoops loops, InetSocketAddress bind, HttpHandler handler, HttpLimits limits) {
        return start(loops, ListenSocket.bind(bind), handler, limits);
    }

    /**
     * Starts a server on a socket that listens already, and on shared event loops.
     *
     * @param loops the event loops, which are not closed with the server
     * @param socket the listening socket, closed with the server
     * @param handler the handler of requests
     * @param limits the server's limits
     * @return the running server
     */
    public static HttpServer start(EventLoops loops, ListenSocket socket, HttpHandler handler, HttpLimits limits) {
        return start(loops, false, socket, handler, limits);
    }

    private static HttpServer start(
            EventLoops loops, boolean ownsLoops, ListenSocket socket, HttpHandler handler, HttpLimits limits) {
        Objects.requireNonNull(handler, "handler is null");
        OpenConnections connections = new OpenConnections(limits.maxConnections());
        Channel listener = loops.listen(socket, new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.config()
                        .setRecvByteBufAllocator(new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(MAX_READS));
                channel.pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new RequestAggregator(limits.maxBodyBytes()))
                        .addLast(new ServerConnection(handler, connections, limits.idleTimeoutMillis()));
            }
        });
        return new HttpServer(loops, ownsLoops, connections, listener);
    }

    // -- accessors

    /**
     * Returns the port listened on.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    // -- callers

    /**
     * Runs an action after all connections were read. The callers that have left by the time that the action is given
     * are known by then: their requests in progress have been told so. The action runs on an I/O thread.
     *
     * @param action the action, given the time in nanoseconds
     */
    public void afterReads(LongConsumer action) {
        List<CompletableFuture<Long>> reads = new ArrayList<>();
        loops.group().forEach(thread -> reads.add(afterReads(thread)));
        CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
                .thenRun(() ->
                        reads.stream().mapToLong(CompletableFuture::join).min().ifPresent(action))
                .exceptionally(HttpServer::logFailure);
    }

    private static Void logFailure(Throwable failure) {
        LogLine.of("internal-error").with("failure", failure).warn();
        return null;
    }

    private CompletableFuture<Long> afterReads(EventExecutor thread) {
        CompletableFuture<Long> done = new CompletableFuture<>();
        thread.execute(() -> {
            long startedAt = System.nanoTime();
            CompletedReads.await(thread, connections.size(), () -> done.complete(startedAt));
        });
        return done;
    }

    // -- stopping

    /** Closes the listening socket and idle connections; other connections close after their requests in progress. */
    public void stopAccepting() {
        listener.close();
        connections.closeWhenIdle();
    }

    /**
     * Returns a stage that completes when the last connection has closed after {@link #stopAccepting()}.
     *
     * @return the stage
     */
    public CompletionStage<Void> drained() {
        return connections.drained();
    }

    /** Closes the listening socket and every connection at once. */
    @Override
    public void close() {
        listener.close();
        connections.closeAll();
        if (ownsLoops) {
            loops.close();
        }
    }
}
