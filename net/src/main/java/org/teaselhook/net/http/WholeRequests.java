package org.teaselhook.net.http;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Joins the parts of a request and answers 413 to one whose body is too large.
 */
final class WholeRequests extends HttpObjectAggregator {

    private final int maxBodyBytes;

    WholeRequests(int maxBodyBytes) {
        super(maxBodyBytes);
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        Problem problem = Problem.of(ProblemKind.TOO_LARGE, "the body exceeds " + maxBodyBytes + " bytes");
        context.writeAndFlush(NettyMessages.response(ProblemReply.notRun(problem), true))
                .addListener(ChannelFutureListener.CLOSE);
    }
}
