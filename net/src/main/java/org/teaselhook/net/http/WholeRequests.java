package org.teaselhook.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Joins the parts of a request. Drops one whose body is too large and passes the problem on in its place, as an event.
 */
final class WholeRequests extends HttpObjectAggregator {

    private final int maxBodyBytes;

    WholeRequests(int maxBodyBytes) {
        super(maxBodyBytes);
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        context.fireUserEventTriggered(
                Problem.of(ProblemKind.TOO_LARGE, "the body exceeds " + maxBodyBytes + " bytes"));
    }
}
