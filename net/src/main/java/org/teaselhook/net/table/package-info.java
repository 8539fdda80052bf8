/**
 * Clients of the table service over HTTP.
 */
package org.teaselhook.net.table;
