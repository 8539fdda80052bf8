package org.teaselhook.core.claim;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.OptionalLong;

/**
 * The keys of a shard's rows in the table service, and the encoding of its floor and tail rows.
 *
 * <p>The floor row holds the sequence of the first retained row; it exists once the log was trimmed. The tail row holds
 * the sequence after the last row and is written by every append. The floor and tail rows of all shards have adjacent
 * keys, so that one scan reads them.
 */
final class LogKeys {

    static final String BOUNDS_FROM = "claims-floor/";
    static final String BOUNDS_TO = "claims-tail/:";

    private static final String FLOOR_FORMAT = BOUNDS_FROM + "%02d";
    private static final String TAIL_FORMAT = "claims-tail/%02d";
    private static final String PREFIX_FORMAT = "claims/%02d/";
    private static final String SEQUENCE_FORMAT = "%s%019d";

    private final String floor;
    private final String tail;
    private final String prefix;

    private LogKeys(int shard) {
        this.floor = String.format(FLOOR_FORMAT, shard);
        this.tail = String.format(TAIL_FORMAT, shard);
        this.prefix = String.format(PREFIX_FORMAT, shard);
    }

    static LogKeys of(int shard) {
        return new LogKeys(shard);
    }

    String floor() {
        return floor;
    }

    String tail() {
        return tail;
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

    static byte[] encode(long sequence) {
        return ByteBuffer.allocate(Long.BYTES).putLong(sequence).array();
    }

    static OptionalLong decode(byte[] value) {
        try {
            return OptionalLong.of(ByteBuffer.wrap(value).getLong());
        } catch (BufferUnderflowException e) {
            return OptionalLong.empty();
        }
    }
}
