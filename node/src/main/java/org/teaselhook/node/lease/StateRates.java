package org.teaselhook.node.lease;

import java.util.concurrent.TimeUnit;

import org.teaselhook.core.lease.LeaseTimes;

/**
 * How often entries are told of a worker. Answers fleets in which every change at each of many workers told to each of
 * many entries costs more than the tasks themselves: what an agent sends for entries that share its worker does not
 * grow with their number, and entries that order nothing here are told by heartbeats alone.
 */
final class StateRates {

    /** How many messages a second an agent spends on telling entries of each other's use: one each 2.5 ms. */
    private static final long SHARED_PER_SECOND = 400;

    /** Between two heartbeats to an entry that orders, in ns: several fit into the silence that is borne. */
    private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Between two heartbeats to any other entry, in ns: two fit into the silence that is borne. */
    private static final long IDLE_HEARTBEAT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_SILENCE_MILLIS) * 2 / 5;

    private StateRates() {}

    /** Returns the least time between two messages to one of the entries that order here, in ns. */
    static long sharedInterval(int orderingEntries) {
        return TimeUnit.SECONDS.toNanos(1) * orderingEntries / SHARED_PER_SECOND;
    }

    /** Returns the time between two heartbeats to an entry, in ns. */
    static long heartbeatInterval(boolean ordering) {
        return ordering ? HEARTBEAT_NANOS : IDLE_HEARTBEAT_NANOS;
    }
}
