package org.teaselhook.node.claim;

import org.teaselhook.core.claim.LedgerEvent;

/**
 * Is told what the ledger does, for metrics. Called on the control thread and must not block.
 */
@FunctionalInterface
public interface ClaimListener {

    /**
     * Tells of one event.
     *
     * @param event the event
     */
    void onEvent(LedgerEvent event);

    /**
     * Returns the listener that ignores all events.
     *
     * @return the listener
     */
    static ClaimListener none() {
        return event -> {};
    }
}
