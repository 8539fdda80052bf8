package org.teaselhook.core.claim;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.OptionalLong;

/**
 * The keys of a shard's rows in the table service, and the form of its floor row.
 *
 * <p>The floor row holds the sequence of the first row retained. It exists from the first deletion on.
 */
final class LogKeys {

    private static final String SEQUENCE_FORMAT = "%s%019d";

    private final String prefix;

    private LogKeys(String prefix) {
        this.prefix = prefix;
    }

    static LogKeys of(int shard) {
        return new LogKeys(String.format("claims/%02d/", shard));
    }

    String floor() {
        return prefix + "floor";
    }

    String row(long sequence) {
        return String.format(SEQUENCE_FORMAT, prefix, sequence);
    }

    String afterRows() {
        return prefix + ':';
    }

    long sequence(String rowKey) {
        return Long.parseLong(rowKey.substring(prefix.length()));
    }

    static byte[] encodeFloor(long sequence) {
        return ByteBuffer.allocate(Long.BYTES).putLong(sequence).array();
    }

    static OptionalLong decodeFloor(byte[] value) {
        try {
            return OptionalLong.of(ByteBuffer.wrap(value).getLong());
        } catch (BufferUnderflowException e) {
            return OptionalLong.empty();
        }
    }
}
