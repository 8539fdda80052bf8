package org.teaselhook.core.grant;

import java.util.Objects;

import org.teaselhook.core.id.Incarnation;

/**
 * A change of the slots granted to one entry, which has to be sent to it.
 *
 * @param entry the incarnation of the entry
 * @param granted the number of slots granted in addition
 * @param reclaimed the number of unused slots that the entry is asked to return
 */
public record GrantChange(Incarnation entry, int granted, int reclaimed) {

    /** Checks that nothing is null. */
    public GrantChange {
        Objects.requireNonNull(entry, "entry is null");
    }
}
