package org.teaselhook.core.config;

/**
 * What became of a rules file that was offered to a process.
 */
public enum ConfigOffer {
    /** It is newer than the one held and has replaced it. */
    APPLIED,
    /** It is the one held. */
    ALREADY_HELD,
    /** It is older than the one held and was dropped. */
    OLDER,
    /** It has the version of the one held but another text, and was dropped; one of the two is corrupt. */
    CONTRADICTS;

    /**
     * Tells whether the offer changed the rules in force.
     *
     * @return true if it did
     */
    public boolean isChange() {
        return this == APPLIED;
    }
}
