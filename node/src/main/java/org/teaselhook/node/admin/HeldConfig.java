package org.teaselhook.node.admin;

import java.util.Objects;
import java.util.Set;

import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.config.VersionedRules;

/**
 * The configuration held by an entry.
 *
 * @param version the version
 * @param text the complete rules file
 * @param operation the operation that applied it
 * @param zonesOut the availability zones that are out of service
 * @param tableReachable whether the entry reaches the table service
 */
public record HeldConfig(
        ConfigVersion version, String text, String operation, Set<String> zonesOut, boolean tableReachable) {

    /** Copies the set. */
    public HeldConfig {
        Objects.requireNonNull(version, "version is null");
        zonesOut = Set.copyOf(zonesOut);
    }

    /**
     * Returns the held configuration as reported to operators.
     *
     * @param held the rules file held
     * @param tableReachable whether the entry reaches the table service
     * @return the held configuration
     */
    public static HeldConfig of(VersionedRules held, boolean tableReachable) {
        return new HeldConfig(
                held.version(), held.text(), held.operation(), held.rules().zonesOut(), tableReachable);
    }
}
