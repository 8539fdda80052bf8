package org.teaselhook.net.http;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * A group of I/O threads that the servers and clients of a process share.
 */
public final class EventLoops implements AutoCloseable {

    /** Connections that may wait to be accepted: all agents of a large site connect to a new entry at once. */
    static final int BACKLOG = 1_024;

    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

    private final EventLoopGroup group;

    private EventLoops(EventLoopGroup group) {
        this.group = group;
    }

    /**
     * Starts a group of daemon threads.
     *
     * @param threads the number of threads, at least 1
     * @return the group
     */
    public static EventLoops of(int threads) {
        return new EventLoops(new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory("traffic", true), NioIoHandler.newFactory()));
    }

    /**
     * Returns Netty's group.
     *
     * @return the group, to be used with NIO channels
     */
    public EventLoopGroup group() {
        return group;
    }

    /**
     * Listens for connections.
     *
     * @param bind the address to listen on; port 0 picks a free one
     * @param initializer the initializer of accepted connections
     * @return the listening channel
     * @throws IllegalStateException if the address cannot be bound
     */
    public Channel listen(InetSocketAddress bind, ChannelHandler initializer) {
        return listen(ListenSocket.bind(bind), initializer);
    }

    /**
     * Accepts the connections of a socket that listens already.
     *
     * @param socket the socket, which is closed with the returned channel
     * @param initializer the initializer of accepted connections
     * @return the listening channel
     * @throws IllegalStateException if the socket cannot be used
     */
    public Channel listen(ListenSocket socket, ChannelHandler initializer) {
        ChannelFuture registered = new ServerBootstrap()
                .group(group)
                .channelFactory(() -> new NioServerSocketChannel(socket.channel()))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer)
                .register()
                .awaitUninterruptibly();
        if (!registered.isSuccess()) {
            throw new IllegalStateException("cannot accept connections on " + socket.address(), registered.cause());
        }
        return registered.channel();
    }

    /**
     * Returns a bootstrap for outbound connections, to be cloned and given a handler for each connection.
     *
     * @param connectTimeoutMillis the connect timeout
     * @return the bootstrap, without a handler
     */
    public Bootstrap clientBootstrap(int connectTimeoutMillis) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis);
    }

    /** Shuts the threads down without waiting for them to terminate. */
    @Override
    public void close() {
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
