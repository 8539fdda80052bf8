/**
 * Decides which process may start a submission: the ledger of claimed keys, tickets, and the cache of answers for
 * resubmissions.
 */
package org.teaselhook.core.claim;
