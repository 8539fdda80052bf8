package org.teaselhook.core.config;

/**
 * Whether an entry's configuration is recent enough to start work.
 */
public enum FreshnessVerdict {
    /** Work may start. */
    FRESH("the configuration is recent"),
    /** The process has just started and has no configuration it may serve by. */
    NEVER_LOADED("the configuration has not been read since the start"),
    /** Neither the table service nor a peer has confirmed the configuration lately. */
    STALE("neither the table service nor another entry was reached within the last seconds");

    private final String reason;

    FreshnessVerdict(String reason) {
        this.reason = reason;
    }

    /**
     * Tells whether an entry may start work.
     *
     * @return true if it may
     */
    public boolean mayStart() {
        return this == FRESH;
    }

    /**
     * Returns the reason for the detail of a refusal.
     *
     * @return the reason
     */
    public String reason() {
        return reason;
    }
}
