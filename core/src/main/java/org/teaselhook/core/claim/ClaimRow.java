package org.teaselhook.core.claim;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.teaselhook.core.id.Incarnation;

/**
 * The value of one row of a shard's log: a batch of claims by one writer.
 *
 * @param writer the incarnation that claims the keys
 * @param nonce a random number per row by which the writer recognises its own row when reading it back
 * @param wallMillis the writer's wall-clock time in milliseconds since the epoch when it created the row
 * @param claims the claims
 */
record ClaimRow(Incarnation writer, long nonce, long wallMillis, List<Claim> claims) {

    private static final byte FORMAT = 1;
    private static final int HEADER_BYTES = 1 + 3 * Long.BYTES + Integer.BYTES;
    private static final int CLAIM_BYTES = 1 + ClaimKeys.MAX_LENGTH_CHARS + Long.BYTES;

    ClaimRow {
        claims = List.copyOf(claims);
    }

    /**
     * One claim.
     *
     * @param key the key
     * @param bodyDigest a digest of the request body
     */
    record Claim(String key, long bodyDigest) {}

    byte[] encode() {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + claims.size() * CLAIM_BYTES);
        buffer.put(FORMAT).putLong(writer.value()).putLong(nonce).putLong(wallMillis);
        buffer.putInt(claims.size());
        for (Claim claim : claims) {
            byte[] key = claim.key().getBytes(StandardCharsets.US_ASCII);
            buffer.put((byte) key.length).put(key).putLong(claim.bodyDigest());
        }
        byte[] result = new byte[buffer.position()];
        buffer.flip().get(result);
        return result;
    }

    static Optional<ClaimRow> decode(byte[] value) {
        try {
            return decode(ByteBuffer.wrap(value));
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Optional<ClaimRow> decode(ByteBuffer buffer) {
        if (buffer.get() != FORMAT) {
            return Optional.empty();
        }
        Incarnation writer = Incarnation.of(buffer.getLong());
        long nonce = buffer.getLong();
        long wallMillis = buffer.getLong();
        int count = buffer.getInt();
        List<Claim> claims = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            byte[] key = new byte[Byte.toUnsignedInt(buffer.get())];
            buffer.get(key);
            claims.add(new Claim(new String(key, StandardCharsets.US_ASCII), buffer.getLong()));
        }
        return Optional.of(new ClaimRow(writer, nonce, wallMillis, claims));
    }
}
