package org.teaselhook.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Aggregates the parts of a request. A request whose body is too large is dropped, and a {@link Problem} is fired as a
 * user event in its place.
 */
final class RequestAggregator extends HttpObjectAggregator {

    private final int maxBodyBytes;

    RequestAggregator(int maxBodyBytes) {
        super(maxBodyBytes);
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        context.fireUserEventTriggered(
                Problem.of(ProblemKind.TOO_LARGE, "the body exceeds " + maxBodyBytes + " bytes"));
    }
}
