package org.teaselhook.net.http;

import java.net.InetSocketAddress;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * One connection of the client's pool: one request at a time.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private final ClientPool pool;
    private final InetSocketAddress to;
    private volatile ChannelHandlerContext context;
    private volatile long idleSinceNanos;
    private PendingCall current;

    ClientConnection(ClientPool pool, InetSocketAddress to) {
        this.pool = pool;
        this.to = to;
    }

    // -- state seen by the pool

    boolean isActive() {
        return context.channel().isActive();
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    void idleSince(long nowNanos) {
        idleSinceNanos = nowNanos;
    }

    // -- sending

    void send(PendingCall pending) {
        context.executor().execute(() -> write(pending));
    }

    private void write(PendingCall pending) {
        if (pending.isDone()) {
            pool.free(this);
            return;
        }
        if (!context.channel().isActive()) {
            pending.notSent("the connection to " + to + " was closed before the request was sent");
            return;
        }
        current = pending;
        pending.result().whenComplete((result, failure) -> closeIfUnanswered(pending));
        context.writeAndFlush(NettyMessages.request(hostHeader(), pending.call()))
                .addListener(written -> failIfUnwritten(pending, written.cause()));
    }

    private String hostHeader() {
        return to.getHostString() + ':' + to.getPort();
    }

    private void failIfUnwritten(PendingCall pending, Throwable cause) {
        if (cause != null) {
            pending.lost("writing to " + to + " failed: " + cause.getMessage());
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
        pool.opened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext read, FullHttpResponse response) {
        PendingCall answered = current;
        current = null;
        if (answered == null) {
            read.close();
            return;
        }
        boolean keep = HttpUtil.isKeepAlive(response);
        answered.replied(NettyMessages.reply(response));
        if (keep) {
            pool.free(this);
        } else {
            read.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        pool.gone(this);
        PendingCall lost = current;
        current = null;
        if (lost != null) {
            lost.lost("the connection to " + to + " closed before the response");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        failed.close();
    }
}
