package org.teaselhook.core.claim;

/**
 * Receives the calls, answers and events of a ledger.
 */
public interface LedgerOutput {

    /**
     * Starts a call to the table service. Its result is passed to {@link Ledger#callCompleted}. At most one call is in
     * flight per slot.
     *
     * @param slot the slot of the call, from 0 to {@link Ledger#SLOTS} - 1
     * @param call the call
     */
    void startCall(int slot, TableCall call);

    /**
     * Answers a claim. Called once per claim.
     *
     * @param claimId the identifier passed to {@link Ledger#claim}
     * @param result the result
     */
    void completeClaim(long claimId, ClaimResult result);

    /**
     * Answers a lookup. Called once per lookup.
     *
     * @param lookupId the identifier passed to {@link Ledger#lookup}
     * @param result the result
     */
    void completeLookup(long lookupId, LookupResult result);

    /**
     * Reports an event.
     *
     * @param event the event
     */
    void reportEvent(LedgerEvent event);
}
