package org.teaselhook.core.grant;

import java.util.Objects;

import org.teaselhook.core.id.Incarnation;

/**
 * What to tell one entry.
 *
 * @param entry the run of the entry
 * @param granted slots added to the entry's balance
 * @param reclaimed unused slots that the entry is asked to give back
 */
public record GrantChange(Incarnation entry, int granted, int reclaimed) {

    /** Checks that nothing is null. */
    public GrantChange {
        Objects.requireNonNull(entry, "entry is null");
    }
}
