package org.teaselhook.node.entry;

import org.teaselhook.core.dispatch.DispatchStats;

/**
 * A snapshot of the control state for metrics and readiness, taken on the control thread and read on other threads.
 *
 * @param stats the dispatcher's counts
 * @param mayStart whether the configuration is recent enough to start work
 * @param stopping whether the entry is stopping
 * @param running submissions in progress
 * @param agents connected agents
 * @param peers live peers that are not stopping
 * @param claimsKnown whether every entry that may hold claims which this one has not read is live
 * @param configVersion the configuration version held
 */
record EntryStatus(
        DispatchStats stats,
        boolean mayStart,
        boolean stopping,
        int running,
        int agents,
        int peers,
        boolean claimsKnown,
        long configVersion) {

    /** Returns why the load balancer should send no requests, or an empty string if the entry is ready. */
    String unreadyReason() {
        if (stopping) {
            return "stopping";
        }
        if (!mayStart) {
            return "no recent configuration";
        }
        return agents == 0 ? "no agent is connected" : "";
    }
}
