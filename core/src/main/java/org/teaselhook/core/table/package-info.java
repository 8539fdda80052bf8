/**
 * The platform's transactional table service as this system sees it: versioned rows and atomic transactions.
 */
package org.teaselhook.core.table;
