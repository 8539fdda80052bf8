package org.teaselhook.node.config;

import org.teaselhook.core.config.ConfigVersion;

/**
 * Row keys of the configuration and of the entries.
 */
public final class ConfigKeys {

    /** Key of the small row that names the current version and its operation; only this row is polled. */
    public static final String CURRENT = "config/current";

    /** First key of the range of the entries' rows. */
    public static final String ENTRIES_FROM = "entries/";

    /** Key after the range of the entries' rows. */
    public static final String ENTRIES_TO = "entries0";

    private ConfigKeys() {}

    /**
     * Returns the key of a version's text. Keys sort in the order of versions.
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
