package org.teaselhook.core.config;

import java.util.Objects;

/**
 * The newest rules file that a process has seen. The version held never falls. Confined to one thread.
 */
public final class ConfigState {

    private VersionedRules current = VersionedRules.none();
    private ConfigVersion highestHeard = ConfigVersion.NONE;

    private ConfigState() {}

    // -- factories

    /**
     * Returns the state of a process that has seen no rules file.
     *
     * @return a new state
     */
    public static ConfigState empty() {
        return new ConfigState();
    }

    // -- events

    /**
     * Takes a rules file over if it is newer than the one held.
     *
     * @param offered an accepted rules file
     * @return what became of it
     */
    public ConfigOffer offer(VersionedRules offered) {
        Objects.requireNonNull(offered, "offered is null");
        heard(offered.version());
        int order = offered.version().compareTo(current.version());
        if (order < 0) {
            return ConfigOffer.OLDER;
        }
        if (order == 0) {
            return offered.text().equals(current.text()) ? ConfigOffer.ALREADY_HELD : ConfigOffer.CONTRADICTS;
        }
        current = offered;
        return ConfigOffer.APPLIED;
    }

    /**
     * Notes that a version exists, though its text may not be here yet.
     *
     * @param version a version named by the table service or by another process
     */
    public void heard(ConfigVersion version) {
        highestHeard = highestHeard.max(version);
    }

    // -- accessors

    /**
     * Returns the rules file held.
     *
     * @return the newest seen
     */
    public VersionedRules current() {
        return current;
    }

    /**
     * Returns the version held.
     *
     * @return the newest version whose text was seen
     */
    public ConfigVersion version() {
        return current.version();
    }

    /**
     * Returns the newest version known to exist.
     *
     * @return at least {@link #version()}
     */
    public ConfigVersion highestHeard() {
        return highestHeard;
    }

    /**
     * Tells whether a newer version is known to exist than the one held.
     *
     * @return true if its text has yet to be fetched
     */
    public boolean isBehind() {
        return current.version().isOlderThan(highestHeard);
    }
}
