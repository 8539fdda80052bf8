package org.teaselhook.net.http;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * A caller's connection. Passes one request at a time to the handler; further ones wait in order.
 */
final class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    /** Further requests are refused, as the end of a connection that is not read any more would go unnoticed. */
    private static final int MAX_WAITING_REQUESTS = 16;

    private final HttpHandler handler;
    private final OpenConnections connections;
    private final long idleTimeoutMillis;
    private final Queue<InboundCall> waiting = new ArrayDeque<>();
    private Optional<InboundCall> current = Optional.empty();
    private boolean handingOver;
    private volatile ChannelHandlerContext context;
    private boolean closeAfterReply;
    private Optional<HttpReply> refusal = Optional.empty();
    private boolean lastReplyWritten;
    private long lastActiveNanos;

    ServerConnection(HttpHandler handler, OpenConnections connections, long idleTimeoutMillis) {
        this.handler = handler;
        this.connections = connections;
        this.idleTimeoutMillis = idleTimeoutMillis;
    }

    // -- connection lifecycle

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        lastActiveNanos = System.nanoTime();
        if (!connections.add(this)) {
            active.close();
            return;
        }
        scheduleIdleCheck();
        if (connections.isStopping()) {
            closeWhenIdle();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        connections.remove(this);
        current.ifPresent(InboundCall::connectionClosed);
        waiting.forEach(InboundCall::connectionClosed);
        waiting.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        failed.close();
    }

    void closeWhenIdle() {
        onEventLoop(this::closeIfIdle);
    }

    void closeNow() {
        onEventLoop(context::close);
    }

    private void onEventLoop(Runnable action) {
        if (context != null) {
            context.executor().execute(action);
        }
    }

    private void closeIfIdle() {
        closeAfterReply = true;
        if (isIdle() && !lastReplyWritten) {
            context.close();
        }
    }

    private boolean isIdle() {
        return current.isEmpty() && waiting.isEmpty();
    }

    private void scheduleIdleCheck() {
        context.executor().schedule(this::checkIdle, idleTimeoutMillis, TimeUnit.MILLISECONDS);
    }

    private void checkIdle() {
        if (!context.channel().isActive()) {
            return;
        }
        long idleMillis = (System.nanoTime() - lastActiveNanos) / 1_000_000;
        if (isIdle() && idleMillis >= idleTimeoutMillis) {
            context.close();
        } else {
            scheduleIdleCheck();
        }
    }

    // -- requests

    @Override
    protected void channelRead0(ChannelHandlerContext read, FullHttpRequest request) {
        if (lastReplyWritten || refusal.isPresent()) {
            return;
        }
        lastActiveNanos = System.nanoTime();
        if (request.decoderResult().isFailure()) {
            refuseMalformed(request.decoderResult().cause().getMessage());
            return;
        }
        closeAfterReply |= !HttpUtil.isKeepAlive(request);
        enqueue(request);
    }

    private void enqueue(FullHttpRequest request) {
        if (waiting.size() >= MAX_WAITING_REQUESTS) {
            refuse(Problem.of(ProblemKind.OVERLOADED, waiting.size() + " requests of this connection are waiting"));
            return;
        }
        try {
            waiting.add(InboundCall.of(request, lastActiveNanos));
        } catch (IllegalArgumentException e) {
            refuseMalformed(e.getMessage());
            return;
        }
        handleNext();
    }

    private void refuseMalformed(String reason) {
        refuse(Problem.of(ProblemKind.BAD_REQUEST, "not HTTP/1.1: " + reason));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext read, Object event) throws Exception {
        if (event instanceof Problem) {
            refuse((Problem) event);
        } else {
            super.userEventTriggered(read, event);
        }
    }

    /** Answers a request that is not handled, after all requests before it, and closes the connection. */
    private void refuse(Problem problem) {
        if (refusal.isEmpty()) {
            refusal = Optional.of(ProblemReply.notRun(problem));
            handleNext();
        }
    }

    private void handleNext() {
        if (current.isPresent() || handingOver || lastReplyWritten) {
            return;
        }
        if (waiting.isEmpty()) {
            refusal.ifPresent(reply -> write(reply, true));
            return;
        }
        handingOver = true;
        CompletedReads.await(context.executor(), connections.size(), this::handOver);
    }

    /** Handles the next request, unless the end of the connection was read after it: its caller may have resent it. */
    private void handOver() {
        handingOver = false;
        if (!context.channel().isActive()) {
            return;
        }
        InboundCall next = waiting.remove();
        current = Optional.of(next);
        invoke(next.call()).whenComplete((reply, failure) -> onEventLoop(() -> finish(reply, failure)));
    }

    private CompletionStage<HttpReply> invoke(HttpCall call) {
        try {
            return handler.handle(call);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private void finish(HttpReply reply, Throwable failure) {
        current = Optional.empty();
        lastActiveNanos = System.nanoTime();
        boolean last = (closeAfterReply || connections.isStopping()) && waiting.isEmpty() && refusal.isEmpty();
        write(failure == null ? reply : failed(failure), last);
        handleNext();
    }

    private static HttpReply failed(Throwable failure) {
        return ProblemReply.mayHaveRun(Problem.of(ProblemKind.INTERNAL, String.valueOf(failure)));
    }

    private void write(HttpReply reply, boolean close) {
        ChannelFuture written = context.writeAndFlush(NettyMessages.response(reply, close));
        if (close) {
            lastReplyWritten = true;
            written.addListener(LingeringClose.INSTANCE);
        }
    }
}
