package org.teaselhook.core.config;

import java.util.Objects;

/**
 * The newest rules file that a process has received. Its version never decreases. Confined to one thread.
 */
public final class ConfigState {

    private VersionedRules current = VersionedRules.none();
    private ConfigVersion highestKnown = ConfigVersion.NONE;

    private ConfigState() {}

    // -- factories

    /**
     * Returns the state of a process that has received no rules file.
     *
     * @return a new state
     */
    public static ConfigState empty() {
        return new ConfigState();
    }

    // -- updates

    /**
     * Replaces the current rules file if the offered one is newer.
     *
     * @param offered an accepted rules file
     * @return the result
     */
    public ConfigOfferResult offer(VersionedRules offered) {
        Objects.requireNonNull(offered, "offered is null");
        noteVersion(offered.version());
        int order = offered.version().compareTo(current.version());
        if (order < 0) {
            return ConfigOfferResult.OLDER;
        }
        if (order == 0) {
            return offered.text().equals(current.text())
                    ? ConfigOfferResult.ALREADY_HELD
                    : ConfigOfferResult.CONTRADICTS;
        }
        current = offered;
        return ConfigOfferResult.APPLIED;
    }

    /**
     * Records that a version exists, although its text may not have been received yet.
     *
     * @param version a version named by the table service or by another process
     */
    public void noteVersion(ConfigVersion version) {
        highestKnown = highestKnown.max(version);
    }

    // -- accessors

    /**
     * Returns the current rules file.
     *
     * @return the newest file received; {@link VersionedRules#none()} if there is none
     */
    public VersionedRules current() {
        return current;
    }

    /**
     * Returns the version of the current rules file.
     *
     * @return the newest version whose text was received
     */
    public ConfigVersion version() {
        return current.version();
    }

    /**
     * Returns the newest version known to exist.
     *
     * @return at least {@link #version()}
     */
    public ConfigVersion highestKnown() {
        return highestKnown;
    }

    /**
     * Tells whether a version newer than the current one is known to exist.
     *
     * @return true if its text has not been received yet
     */
    public boolean isBehind() {
        return current.version().isOlderThan(highestKnown);
    }
}
