package org.teaselhook.node.config;

import org.teaselhook.core.config.ConfigVersion;

/**
 * Keys of the rows that hold the configuration and the entries.
 */
public final class ConfigKeys {

    /** The small row that names the current version and its operation; the one that is polled. */
    public static final String CURRENT = "config/current";

    /** The first key of entries' rows. */
    public static final String ENTRIES_FROM = "entries/";

    /** The key after the last of entries' rows. */
    public static final String ENTRIES_TO = "entries0";

    private ConfigKeys() {}

    /**
     * Returns the key of a version's text. Keys sort as versions do.
     *
     * @param version the version
     * @return the key
     */
    public static String history(ConfigVersion version) {
        return String.format("config/history/%016x", version.value());
    }

    /**
     * Returns the key of an operation's record.
     *
     * @param operation the operation's id
     * @return the key
     */
    public static String operation(String operation) {
        return "config/operations/" + operation;
    }

    /**
     * Returns the key of an entry's row.
     *
     * @param name the entry's name
     * @return the key
     */
    public static String entry(String name) {
        return ENTRIES_FROM + name;
    }
}
