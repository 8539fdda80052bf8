/**
 * Decides who may start a submission: the ledger of claimed keys, tickets, and the answers kept for resubmissions.
 */
package org.teaselhook.core.claim;
