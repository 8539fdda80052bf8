package org.teaselhook.core.lease;

import org.teaselhook.core.id.Incarnation;

/**
 * Identifies an order, which is an entry's request to run a task.
 *
 * @param entry the incarnation of the entry
 * @param number a number that is unique within that incarnation
 */
public record OrderId(Incarnation entry, long number) {

    // -- equality: written out, as the methods that records generate are linked anew at each start of a process

    @Override
    public boolean equals(Object other) {
        return other instanceof OrderId that && number == that.number && entry.equals(that.entry);
    }

    @Override
    public int hashCode() {
        return 31 * entry.hashCode() + Long.hashCode(number);
    }
}
