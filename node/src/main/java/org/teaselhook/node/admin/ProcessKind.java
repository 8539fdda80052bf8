package org.teaselhook.node.admin;

import java.util.Locale;

/**
 * The kinds of processes in the system.
 */
public enum ProcessKind {
    /** Accepts callers' requests. */
    ENTRY,
    /** Runs next to a target. */
    AGENT;

    /**
     * Returns the label in responses to operators.
     *
     * @return {@code entry} or {@code agent}
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
