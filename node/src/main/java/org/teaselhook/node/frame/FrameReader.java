package org.teaselhook.node.frame;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.teaselhook.net.log.LogLine;

/**
 * Parses the messages of a connection, and passes those of one read to the listener together. A message that cannot be
 * parsed ends the connection, as later messages may depend on it.
 *
 * @param <R> the messages received
 * @param <S> the messages sent
 */
final class FrameReader<R extends MessageLite, S extends MessageLite> extends SimpleChannelInboundHandler<ByteBuf> {

    private final FrameConnection<S> connection;
    private final Parser<R> parser;
    private final FrameListener<R, S> listener;
    private List<R> decoded = new ArrayList<>();

    FrameReader(FrameConnection<S> connection, Parser<R> parser, FrameListener<R, S> listener) {
        this.connection = connection;
        this.parser = parser;
        this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        connection.opened(context.channel());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws InvalidProtocolBufferException {
        decoded.add(parser.parseFrom(frame.nioBuffer()));
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (!decoded.isEmpty()) {
            List<R> messages = decoded;
            decoded = new ArrayList<>();
            listener.received(connection, messages);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.ended(connection, connection.recordEnd("closed by the other end"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        connection.recordEnd(String.valueOf(cause.getMessage()));
        LogLine.of("connection-failed")
                .with("remote", connection.remote())
                .with("cause", cause)
                .warn();
        context.close();
    }
}
