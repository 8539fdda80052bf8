/**
 * Compares strategies for claiming idempotency keys: response time, writes to the table service, and behaviour during
 * an outage and after the loss of an entry.
 */
package org.teaselhook.bench.claims;
