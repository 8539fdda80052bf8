package org.teaselhook.node.entry;

import org.teaselhook.core.dispatch.DispatchStats;

/**
 * A view of the control state for metrics and readiness, made on the control thread and read on others.
 *
 * @param stats the dispatcher's counts
 * @param mayStart whether the configuration is recent enough to start work
 * @param stopping whether the entry is stopping
 * @param running submissions in progress
 * @param agents connected agents
 * @param peers live peers
 * @param claimsKnown whether every entry that may hold claims that this one has not read answers
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

    /** Returns why the balancer should send nothing, or an empty text. */
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
