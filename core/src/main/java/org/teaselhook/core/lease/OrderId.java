package org.teaselhook.core.lease;

import org.teaselhook.core.id.Incarnation;

/**
 * One order of one entry.
 *
 * @param entry the run of the entry
 * @param number a number that the entry uses once
 */
public record OrderId(Incarnation entry, long number) {}
