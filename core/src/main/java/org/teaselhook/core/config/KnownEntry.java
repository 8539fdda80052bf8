package org.teaselhook.core.config;

import java.util.Objects;

import org.teaselhook.core.id.Incarnation;

/**
 * One run of an entry that may accept changes of the configuration.
 *
 * @param name the entry's name; a later run under it replaces an earlier one
 * @param run the run
 */
public record KnownEntry(String name, Incarnation run) {

    /** Checks that nothing is null. */
    public KnownEntry {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(run, "run is null");
    }
}
