package org.teaselhook.node.entry;

/**
 * What a submission holds and gives back if it certainly does not run.
 */
enum Hold {
    /** Nothing: it has no name of its own, or needs no claim. */
    NONE,
    /** The claim of its key in the ledger. */
    CLAIM,
    /** The admission of its ticket. */
    TICKET
}
