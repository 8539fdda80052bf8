package org.teaselhook.node.claim;

import org.teaselhook.core.claim.LedgerEvent;

/**
 * Receives the events of the ledger, for metrics. Called on the control thread; must not block.
 */
@FunctionalInterface
public interface ClaimListener {

    /**
     * Called for each event.
     *
     * @param event the event
     */
    void onEvent(LedgerEvent event);

    /**
     * Returns a listener that ignores all events.
     *
     * @return the listener
     */
    static ClaimListener none() {
        return event -> {};
    }
}
