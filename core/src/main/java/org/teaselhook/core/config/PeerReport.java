package org.teaselhook.core.config;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * A report of another entry on its configuration.
 *
 * @param entry the reporting entry
 * @param version its current version; version 0 for none
 * @param leaving whether it is stopping and therefore accepts no more changes
 * @param confirmedAgeNanos the age, at the time of the report, of the instant as of which no version newer than its own
 *     is known to have been accepted; empty if the entry has no valid confirmation
 */
public record PeerReport(KnownEntry entry, ConfigVersion version, boolean leaving, OptionalLong confirmedAgeNanos) {

    /** Checks that no component is null. */
    public PeerReport {
        Objects.requireNonNull(entry, "entry is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(confirmedAgeNanos, "confirmedAgeNanos is null");
    }
}
