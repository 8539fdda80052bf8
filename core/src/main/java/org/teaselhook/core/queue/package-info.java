/**
 * Queues ordered by time: a heap with removal, and a queue that is fair among customers.
 */
package org.teaselhook.core.queue;
