package org.teaselhook.core.config;

import java.util.Objects;

import org.teaselhook.core.id.Incarnation;

/**
 * An incarnation of an entry that may accept configuration changes.
 *
 * @param name the entry's name; a later incarnation under the same name replaces an earlier one
 * @param run the incarnation of the entry
 */
public record KnownEntry(String name, Incarnation run) {

    /** Checks that no component is null. */
    public KnownEntry {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(run, "run is null");
    }
}
