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
    private static final int BACKLOG = 1_024;

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
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer)
                .bind(bind)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException("cannot listen on " + bind + "; choose a free address", bound.cause());
        }
        return bound.channel();
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
