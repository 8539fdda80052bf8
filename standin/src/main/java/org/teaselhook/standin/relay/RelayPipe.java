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
 * Forwards the bytes of one direction of a connection. Both channels of a connection belong to one event loop, on which
 * all methods except {@link #blackhole()} run.
 */
final class RelayPipe extends ChannelInboundHandlerAdapter {

    private final RelayDirection direction;
    private final RelayState state;
    private final Channel destination;
    private volatile boolean blackholed;
    private long lastDueNanos = Long.MIN_VALUE;

    RelayPipe(RelayDirection direction, RelayState state, Channel destination) {
        this.direction = direction;
        this.state = state;
        this.destination = destination;
    }

    /** Drops all bytes and the end of the stream from now on. */
    void blackhole() {
        blackholed = true;
    }

    // -- channel events

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf chunk = (ByteBuf) message;
        if (blackholed) {
            chunk.release();
            return;
        }
        runDelayed(() -> write(chunk));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        // Backpressure: this channel is the destination of the opposite direction, so reading from the source of that
        // direction stops while this channel is not writable.
        destination.config().setAutoRead(context.channel().isWritable());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!blackholed) {
            runDelayed(this::closeWhenFlushed);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    // -- forwarding

    private void runDelayed(Runnable action) {
        long latencyNanos = state.latencyNanos();
        long nowNanos = System.nanoTime();
        if (latencyNanos == 0 && lastDueNanos <= nowNanos) {
            action.run();
            return;
        }
        lastDueNanos = Math.max(lastDueNanos, nowNanos + latencyNanos);
        destination.eventLoop().schedule(action, lastDueNanos - nowNanos, TimeUnit.NANOSECONDS);
    }

    private void write(ByteBuf chunk) {
        if (blackholed) {
            ReferenceCountUtil.release(chunk);
            return;
        }
        state.addBytes(direction, chunk.readableBytes());
        destination.writeAndFlush(chunk);
    }

    private void closeWhenFlushed() {
        if (!blackholed) {
            destination.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
