package org.teaselhook.node.lease;

import java.util.concurrent.TimeUnit;

import org.teaselhook.core.lease.LeaseTimes;

/**
 * How often entries are told of a worker. Answers fleets in which every change at each of many workers told to each of
 * many entries costs more than the tasks themselves: what an entry is told of workers that it shares does not grow with
 * the site, whose agents are more the more entries there are; entries that order nothing here are told by heartbeats
 * alone.
 */
final class StateRates {

    /** Messages a second about use by other entries, of an agent and times the entries: 400 among three of them. */
    private static final long SHARED_PER_SECOND = 1_200;

    /** Between two heartbeats to an entry that orders, in ns: several fit into the silence that is borne. */
    private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Between two heartbeats to any other entry, in ns: two fit into the silence that is borne. */
    private static final long IDLE_HEARTBEAT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_TIMEOUT_MILLIS) * 2 / 5;

    private StateRates() {}

    /**
     * Returns the least time between two messages to one of the entries that order here, in ns.
     *
     * @param orderingEntries the entries that order here
     * @param entries all entries that are heard
     */
    static long sharedInterval(int orderingEntries, int entries) {
        return TimeUnit.SECONDS.toNanos(1) * orderingEntries * Math.max(1, entries) / SHARED_PER_SECOND;
    }

    /** Returns the time between two heartbeats to an entry, in ns. */
    static long heartbeatInterval(boolean ordering) {
        return ordering ? HEARTBEAT_NANOS : IDLE_HEARTBEAT_NANOS;
    }
}
