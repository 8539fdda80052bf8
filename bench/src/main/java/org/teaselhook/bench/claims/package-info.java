/**
 * Compares ways of claiming keys: response time, writes to the table service, and behaviour in an outage and after the
 * loss of an entry.
 */
package org.teaselhook.bench.claims;
