package org.teaselhook.node.frame;

import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * What one end of a connection reads.
 *
 * @param parser parses the messages received
 * @param maxMessageBytes the greatest size of one; a longer one ends the connection
 * @param <R> the messages received
 */
public record FrameProtocol<R extends MessageLite>(Parser<R> parser, int maxMessageBytes) {

    /** Bytes that may wait for an end that reads slowly: the largest messages, and all that is sent in a second. */
    private static final WriteBufferWaterMark WAITING_BYTES = new WriteBufferWaterMark(1 << 20, 4 << 20);

    <S extends MessageLite> void install(Channel channel, FrameConnection<S> connection, FrameListener<R, S> listener) {
        channel.config().setWriteBufferWaterMark(WAITING_BYTES);
        int length = FrameEncoding.LENGTH_BYTES;
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(maxMessageBytes, 0, length, 0, length))
                .addLast(new FrameReader<>(connection, parser, listener));
    }
}
