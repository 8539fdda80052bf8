package org.teaselhook.node.config;

import java.util.Objects;

import org.teaselhook.core.config.ConfigVersion;

/**
 * One accepted version in the history.
 *
 * @param version the version
 * @param operation the operation that applied it; empty for none
 * @param author who applied it
 * @param atMillis when, on the applying entry's wall clock; for reading only
 * @param text the whole rules file
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
     * Returns the record before any rules file was accepted.
     *
     * @return version 0 with an empty text
     */
    public static ConfigRecord none() {
        return NONE;
    }
}
