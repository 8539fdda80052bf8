package org.teaselhook.core.claim;

/**
 * Takes what the ledger decides.
 */
public interface LedgerOutput {

    /**
     * Wants a call made. Its result goes to {@link Ledger#completed}; there is one call per shard at a time.
     *
     * @param shard the shard
     * @param call the call
     */
    void call(int shard, TableCall call);

    /**
     * Answers a claim, once.
     *
     * @param claimId the number given to {@link Ledger#claim}
     * @param result the result
     */
    void answer(long claimId, ClaimResult result);

    /**
     * Tells of an event.
     *
     * @param event the event
     */
    void event(LedgerEvent event);
}
