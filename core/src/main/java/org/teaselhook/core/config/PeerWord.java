package org.teaselhook.core.config;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * What another entry says of its configuration.
 *
 * @param entry who says so
 * @param version the version that it holds; version 0 for none
 * @param leaving whether it is stopping, and so accepts no more changes
 * @param confirmedAgeNanos how long before the word the instant lies as of which the peer knows that no version newer
 *     than its own had been accepted; empty if it knows of no such instant within the last seconds
 */
public record PeerWord(KnownEntry entry, ConfigVersion version, boolean leaving, OptionalLong confirmedAgeNanos) {

    /** Checks that nothing is null. */
    public PeerWord {
        Objects.requireNonNull(entry, "entry is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(confirmedAgeNanos, "confirmedAgeNanos is null");
    }
}
