package org.teaselhook.core.lease;

import org.teaselhook.core.id.Incarnation;

/**
 * Identifies an order, which is an entry's request to run a task.
 *
 * @param entry the incarnation of the entry
 * @param number a number that is unique within that incarnation
 */
public record OrderId(Incarnation entry, long number) {}
