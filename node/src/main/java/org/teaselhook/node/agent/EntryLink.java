package org.teaselhook.node.agent;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * The connection to one address: when to dial, and when it has been silent for too long.
 */
final class EntryLink {

    static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(2);
    static final long UNHEARD_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final InetSocketAddress address;
    private final boolean configured;
    private EntryStream stream;
    private boolean dormant;
    private long dialDueNanos;
    private long backoffNanos = MIN_BACKOFF_NANOS;
    private long heardNanos;
    private long provenNanos;
    private long namedNanos;

    EntryLink(InetSocketAddress address, boolean configured, long nowNanos) {
        this.address = address;
        this.configured = configured;
        this.dialDueNanos = nowNanos;
        this.namedNanos = nowNanos;
    }

    // -- accessors

    InetSocketAddress address() {
        return address;
    }

    boolean isOn(EntryStream other) {
        return stream != null && stream == other;
    }

    boolean hasStream() {
        return stream != null;
    }

    EntryStream stream() {
        return stream;
    }

    /** Whether nothing arrived for too long, or nothing that this agent sent was echoed for too long. */
    boolean isSilent(long nowNanos) {
        return hasStream() && (nowNanos - heardNanos > SILENCE_NANOS || nowNanos - provenNanos > UNHEARD_NANOS);
    }

    boolean isDialDue(long nowNanos) {
        return !hasStream() && !dormant && nowNanos - dialDueNanos >= 0;
    }

    /** Whether the address is neither in the settings nor named by any entry of late, and not connected. */
    boolean isForgotten(long nowNanos, long keepNanos) {
        return !configured && !hasStream() && nowNanos - namedNanos > keepNanos;
    }

    // -- updates

    void dialed(EntryStream opened, long nowNanos) {
        stream = opened;
        heardNanos = nowNanos;
        provenNanos = nowNanos;
    }

    void heard(long nowNanos) {
        heardNanos = nowNanos;
    }

    /** Notes an echo of a time that this agent has sent. */
    void echoed(long echoNanos) {
        provenNanos = Math.max(provenNanos, echoNanos);
        backoffNanos = MIN_BACKOFF_NANOS;
    }

    void named(long nowNanos) {
        namedNanos = nowNanos;
    }

    void dormant(boolean sleeps) {
        dormant = sleeps;
    }

    /** Notes that the stream is gone; the next dial is due at once or after a pause that doubles. */
    void dropped(long nowNanos, boolean atOnce) {
        stream = null;
        dialDueNanos = atOnce ? nowNanos : nowNanos + backoffNanos;
        backoffNanos = atOnce ? backoffNanos : Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
    }
}
