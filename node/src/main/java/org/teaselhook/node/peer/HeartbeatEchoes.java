package org.teaselhook.node.peer;

import org.agrona.collections.Long2LongHashMap;

/**
 * Remembers when each recent heartbeat was sent. A frame that echoes a heartbeat's sequence number was sent after that
 * heartbeat. Confined to the control thread.
 */
final class HeartbeatEchoes {

    private static final int CAPACITY = 64;
    private static final long MISSING = Long.MIN_VALUE;

    private final Long2LongHashMap sentAt = new Long2LongHashMap(MISSING);
    private long nextSequence = 1;

    /** Records that a heartbeat is being sent; returns its sequence number. */
    long recordSent(long nowNanos) {
        long sequence = nextSequence++;
        sentAt.put(sequence, nowNanos);
        sentAt.remove(sequence - CAPACITY);
        return sequence;
    }

    /** Returns when the echoed heartbeat was sent, or the default if it is no longer remembered. */
    long sentAt(long echoedSequence, long defaultNanos) {
        long sent = sentAt.get(echoedSequence);
        return sent == MISSING ? defaultNanos : sent;
    }
}
