package org.teaselhook.net.http;

import java.net.InetSocketAddress;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A pooled connection, which carries one request at a time.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private final ClientPool pool;
    private final InetSocketAddress address;
    private volatile ChannelHandlerContext context;
    private volatile long idleSinceNanos;
    private PendingCall current;

    ClientConnection(ClientPool pool, InetSocketAddress address) {
        this.pool = pool;
        this.address = address;
    }

    // -- state, read by the pool

    boolean isActive() {
        return context.channel().isActive();
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    void markIdle(long nowNanos) {
        idleSinceNanos = nowNanos;
    }

    // -- sending

    void send(PendingCall pending) {
        context.executor().execute(() -> write(pending));
    }

    private void write(PendingCall pending) {
        if (pending.isDone()) {
            pool.release(this);
            return;
        }
        if (!context.channel().isActive()) {
            pending.notSent("the connection to " + address + " was closed before the request was sent");
            return;
        }
        if (pending.isOverdue(System.nanoTime())) {
            pending.notSent("the request to " + address + " was not sent in time");
            pool.release(this);
            return;
        }
        current = pending;
        pending.result().whenComplete((result, failure) -> closeIfUnanswered(pending));
        context.writeAndFlush(NettyMessages.request(hostHeader(), pending.call()))
                .addListener(written -> failIfUnwritten(pending, written.cause()));
    }

    private String hostHeader() {
        return address.getHostString() + ':' + address.getPort();
    }

    private void failIfUnwritten(PendingCall pending, Throwable cause) {
        if (cause != null) {
            pending.lost("writing to " + address + " failed: " + cause.getMessage());
        }
    }

    private void closeIfUnanswered(PendingCall pending) {
        context.executor().execute(() -> {
            if (current == pending) {
                context.close();
            }
        });
    }

    void close() {
        context.close();
    }

    // -- events

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        pool.connectionOpened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext read, FullHttpResponse response) {
        PendingCall answered = current;
        current = null;
        if (answered == null) {
            read.close();
            return;
        }
        boolean keepAlive = HttpUtil.isKeepAlive(response);
        answered.replied(NettyMessages.reply(response));
        if (keepAlive) {
            pool.release(this);
        } else {
            read.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        pool.connectionClosed(this);
        PendingCall unanswered = current;
        current = null;
        if (unanswered != null) {
            unanswered.lost("the connection to " + address + " closed before the response");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        failed.close();
    }
}
