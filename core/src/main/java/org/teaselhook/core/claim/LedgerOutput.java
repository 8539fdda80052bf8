package org.teaselhook.core.claim;

/**
 * Takes what the ledger decides.
 */
public interface LedgerOutput {

    /**
     * Wants a call made. Its result goes to {@link Ledger#completed}; there is one call per slot at a time.
     *
     * @param slot a number from 0 to {@link Ledger#SLOTS} - 1
     * @param call the call
     */
    void call(int slot, TableCall call);

    /**
     * Answers a claim, once.
     *
     * @param claimId the number given to {@link Ledger#claim}
     * @param result the result
     */
    void answer(long claimId, ClaimResult result);

    /**
     * Answers a lookup, once.
     *
     * @param lookupId the number given to {@link Ledger#lookup}
     * @param result the result
     */
    void found(long lookupId, LookupResult result);

    /**
     * Tells of an event.
     *
     * @param event the event
     */
    void event(LedgerEvent event);
}
