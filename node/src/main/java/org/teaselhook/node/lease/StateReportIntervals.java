package org.teaselhook.node.lease;

import java.util.concurrent.TimeUnit;

import org.teaselhook.core.lease.LeaseTimes;

/**
 * Intervals at which an agent reports its worker's state to an entry. In a large fleet, reporting every change of every
 * worker to every entry would cost more than the tasks themselves. The rate of reports that one entry receives about
 * workers shared with others therefore does not grow with the site, although the number of agents grows with that of
 * entries. An entry that has sent no recent order receives heartbeats only.
 */
final class StateReportIntervals {

    /** Reports per second of an agent about use by others, multiplied by the number of entries: 400 for three. */
    private static final long REPORT_BUDGET_PER_SECOND = 1_200;

    /** Interval of heartbeats to an entry with recent orders, in ns: several fit into the timeout of an entry. */
    private static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Interval of heartbeats to any other entry, in ns: two fit into the timeout of an entry. */
    private static final long IDLE_HEARTBEAT_INTERVAL_NANOS =
            TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_TIMEOUT_MILLIS) * 2 / 5;

    private StateReportIntervals() {}

    /**
     * Returns the minimum interval between two reports to one of the entries with recent orders, in ns.
     *
     * @param activeEntries the number of entries with recent orders to this agent
     * @param liveEntries the number of all live entries
     */
    static long reportInterval(int activeEntries, int liveEntries) {
        return TimeUnit.SECONDS.toNanos(1) * activeEntries * Math.max(1, liveEntries) / REPORT_BUDGET_PER_SECOND;
    }

    /** Returns the interval between two heartbeats to an entry, in ns. */
    static long heartbeatInterval(boolean hasRecentOrder) {
        return hasRecentOrder ? HEARTBEAT_INTERVAL_NANOS : IDLE_HEARTBEAT_INTERVAL_NANOS;
    }
}
