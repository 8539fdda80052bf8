package org.teaselhook.net.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * A group of traffic threads that servers and clients of one process share.
 */
public final class EventLoops implements AutoCloseable {

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

    /** Ends the threads without waiting for them. */
    @Override
    public void close() {
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
