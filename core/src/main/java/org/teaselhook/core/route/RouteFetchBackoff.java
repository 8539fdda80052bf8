package org.teaselhook.core.route;

import java.util.concurrent.TimeUnit;

/**
 * Decides when an entry fetches the routing configuration from an agent. This is the fallback if the store rejects the
 * entry's requests or is unreachable: agents learn of newer versions from other entries. An entry that can read the
 * store receives a change as soon as any other, so it fetches only after a delay, from one agent at a time and with
 * exponential backoff. Confined to one thread.
 */
public final class RouteFetchBackoff {

    /** The delay before the first fetch, and before the next one if it is not answered, in ns. */
    private static final long FETCH_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** The maximum number of doublings of the delay: the only process that held a version may have terminated. */
    private static final int MAX_DOUBLINGS = 5;

    private long receivedVersion;
    private boolean behind;
    private int fetches;
    private long fetchDueAt;

    private RouteFetchBackoff() {}

    /**
     * Returns the initial state, in which no newer version is known.
     *
     * @return a new state
     */
    public static RouteFetchBackoff initial() {
        return new RouteFetchBackoff();
    }

    /**
     * Notes the version that an agent has announced, and tells whether to fetch it from that agent now.
     *
     * @param nowNanos the present time
     * @param held the routing configuration that the entry holds
     * @param announced the version that the agent has announced
     * @return true if it is to be fetched; the next fetch is due when the agent has had time to answer
     */
    public boolean shouldFetch(long nowNanos, Routes held, long announced) {
        if (announced <= Math.max(held.version(), receivedVersion)) {
            return false;
        }
        if (!behind) {
            behind = true;
            fetches = 0;
            fetchDueAt = held.isKnown() ? nowNanos + FETCH_DELAY_NANOS : nowNanos;
        }
        if (nowNanos - fetchDueAt < 0) {
            return false;
        }
        fetchDueAt = nowNanos + (FETCH_DELAY_NANOS << Math.min(MAX_DOUBLINGS, fetches));
        fetches++;
        return true;
    }

    /**
     * Notes a version that was read or received. Its content may equal that of the older version held.
     *
     * @param version the version
     */
    public void received(long version) {
        receivedVersion = Math.max(receivedVersion, version);
        behind = false;
    }
}
