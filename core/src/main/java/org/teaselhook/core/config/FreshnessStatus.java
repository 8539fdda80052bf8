package org.teaselhook.core.config;

/**
 * The freshness of an entry's configuration: whether it is recent enough to start work.
 */
public enum FreshnessStatus {
    /** Work may start. */
    FRESH("the configuration is recent"),
    /** The process has not loaded a configuration since its start. */
    NEVER_LOADED("no configuration has been loaded since the process started"),
    /** The last confirmation by the table service or a peer has expired. */
    STALE("neither the table service nor the other entries have confirmed the configuration within the last 3 s");

    private final String reason;

    FreshnessStatus(String reason) {
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
     * Returns the explanation used in the detail of a refusal.
     *
     * @return the reason
     */
    public String reason() {
        return reason;
    }
}
