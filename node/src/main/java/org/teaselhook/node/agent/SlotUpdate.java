package org.teaselhook.node.agent;

/**
 * Slot information for an entry, piggybacked on a result or refusal.
 *
 * @param granted the number of slots newly granted to the entry
 * @param open the number of slots available to dispatches without a grant
 */
record SlotUpdate(int granted, int open) {

    static final SlotUpdate NONE = new SlotUpdate(0, 0);
}
