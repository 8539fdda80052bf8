/**
 * Runs the ledger of claims on top of the table service.
 */
package org.teaselhook.node.claim;
