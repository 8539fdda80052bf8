package org.teaselhook.node.peer;

import org.agrona.collections.Long2LongHashMap;

/**
 * Remembers when each recent heartbeat was sent, so that an echo of its sequence tells how recent the echo's own frame
 * is at least. Confined to the control thread.
 */
final class EchoTimes {

    private static final int REMEMBERED = 64;
    private static final long MISSING = Long.MIN_VALUE;

    private final Long2LongHashMap sentAt = new Long2LongHashMap(MISSING);
    private long nextSequence = 1;

    /** Notes that a heartbeat is sent now; returns its sequence. */
    long sending(long nowNanos) {
        long sequence = nextSequence++;
        sentAt.put(sequence, nowNanos);
        sentAt.remove(sequence - REMEMBERED);
        return sequence;
    }

    /** Returns when the echoed heartbeat was sent, or the given time if it is not remembered. */
    long sentAt(long echoedSequence, long otherwise) {
        long sent = sentAt.get(echoedSequence);
        return sent == MISSING ? otherwise : sent;
    }
}
