package org.teaselhook.core.config;

/**
 * The result of offering a rules file to a process.
 */
public enum ConfigOfferResult {
    /** The file is newer than the current one and has replaced it. */
    APPLIED,
    /** The file is identical to the current one. */
    ALREADY_HELD,
    /** The file is older than the current one and was ignored. */
    OLDER,
    /** The file has the current version but a different text and was ignored; one of the two is corrupt. */
    CONTRADICTS;

    /**
     * Tells whether the current rules were replaced.
     *
     * @return true if they were
     */
    public boolean isChange() {
        return this == APPLIED;
    }
}
