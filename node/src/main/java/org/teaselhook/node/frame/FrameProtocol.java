package org.teaselhook.node.frame;

import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * The messages that one end of a connection receives.
 *
 * @param parser parses the messages received
 * @param maxMessageBytes the maximum size of a message, in bytes; a longer one ends the connection
 * @param <R> the messages received
 */
public record FrameProtocol<R extends MessageLite>(Parser<R> parser, int maxMessageBytes) {

    /** Limits of the data buffered for a slow reader: the largest messages and all data of a second must fit. */
    private static final WriteBufferWaterMark WRITE_BUFFER_BYTES = new WriteBufferWaterMark(1 << 20, 4 << 20);

    <S extends MessageLite> void install(Channel channel, FrameConnection<S> connection, FrameListener<R, S> listener) {
        channel.config().setWriteBufferWaterMark(WRITE_BUFFER_BYTES);
        int length = FrameEncoding.LENGTH_BYTES;
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(maxMessageBytes, 0, length, 0, length))
                .addLast(new FrameReader<>(connection, parser, listener));
    }
}
