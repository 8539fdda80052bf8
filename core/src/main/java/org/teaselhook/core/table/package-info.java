/**
 * The interface to the platform's transactional table service: versioned rows and atomic transactions.
 */
package org.teaselhook.core.table;
