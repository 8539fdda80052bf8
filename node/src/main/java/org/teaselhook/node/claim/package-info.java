/**
 * Runs the ledger of claims over the table service.
 */
package org.teaselhook.node.claim;
