/**
 * Queues ordered by time: a heap with removal by handle, and a weighted fair queue among customers.
 */
package org.teaselhook.core.queue;
