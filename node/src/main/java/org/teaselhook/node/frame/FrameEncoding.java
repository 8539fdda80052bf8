package org.teaselhook.node.frame;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.MessageLite;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Length-prefixed encoding of messages: each follows its length, a big-endian number of four bytes.
 */
final class FrameEncoding {

    /** Size of the length prefix, in bytes. */
    static final int LENGTH_BYTES = 4;

    private FrameEncoding() {}

    static ByteBuf encode(List<? extends MessageLite> messages) {
        int size = messages.stream()
                .mapToInt(m -> LENGTH_BYTES + m.getSerializedSize())
                .sum();
        ByteBuf buffer = Unpooled.buffer(size);
        messages.forEach(message -> write(message, buffer));
        return buffer;
    }

    private static void write(MessageLite message, ByteBuf buffer) {
        int length = message.getSerializedSize();
        buffer.writeInt(length);
        CodedOutputStream out =
                CodedOutputStream.newInstance(buffer.array(), buffer.arrayOffset() + buffer.writerIndex(), length);
        try {
            message.writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException("message is longer than its serialized size", e);
        }
        buffer.writerIndex(buffer.writerIndex() + length);
    }
}
