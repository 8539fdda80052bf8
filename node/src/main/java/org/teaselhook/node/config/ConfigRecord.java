package org.teaselhook.node.config;

import java.util.Objects;

import org.teaselhook.core.config.ConfigVersion;

/**
 * An accepted version in the history.
 *
 * @param version the version
 * @param operation the operation that applied it; empty if there is none
 * @param author the operator who applied it
 * @param atMillis when it was applied, in epoch milliseconds of the applying entry's clock; informational only
 * @param text the complete rules file
 */
public record ConfigRecord(ConfigVersion version, String operation, String author, long atMillis, String text) {

    private static final ConfigRecord NONE = new ConfigRecord(ConfigVersion.NONE, "", "", 0, "");

    /** Checks that nothing is null. */
    public ConfigRecord {
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(operation, "operation is null");
        Objects.requireNonNull(author, "author is null");
        Objects.requireNonNull(text, "text is null");
    }

    /**
     * Returns the record that precedes the first accepted rules file.
     *
     * @return version 0 with an empty text
     */
    public static ConfigRecord none() {
        return NONE;
    }
}
