package org.teaselhook.standin.relay;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Passes the bytes of one direction of one connection on. Both channels of a connection belong to one event loop, on
 * which everything but {@link #silence()} runs.
 */
final class RelayPipe extends ChannelInboundHandlerAdapter {

    private final RelayDirection direction;
    private final RelayState state;
    private final Channel to;
    private volatile boolean silent;
    private long lastDueNanos = Long.MIN_VALUE;

    RelayPipe(RelayDirection direction, RelayState state, Channel to) {
        this.direction = direction;
        this.state = state;
        this.to = to;
    }

    /** Swallows everything from now on, the end of the stream too. */
    void silence() {
        silent = true;
    }

    // -- events

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf chunk = (ByteBuf) message;
        if (silent) {
            chunk.release();
            return;
        }
        later(() -> write(chunk));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        // This channel is the far end of the other direction: pause that direction's source while it is full.
        to.config().setAutoRead(context.channel().isWritable());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!silent) {
            later(this::closeWhenFlushed);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    // -- passing on

    private void later(Runnable action) {
        long latencyNanos = state.latencyNanos();
        long nowNanos = System.nanoTime();
        if (latencyNanos == 0 && lastDueNanos <= nowNanos) {
            action.run();
            return;
        }
        lastDueNanos = Math.max(lastDueNanos, nowNanos + latencyNanos);
        to.eventLoop().schedule(action, lastDueNanos - nowNanos, TimeUnit.NANOSECONDS);
    }

    private void write(ByteBuf chunk) {
        if (silent) {
            ReferenceCountUtil.release(chunk);
            return;
        }
        state.count(direction, chunk.readableBytes());
        to.writeAndFlush(chunk);
    }

    private void closeWhenFlushed() {
        if (!silent) {
            to.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
