package org.teaselhook.node.admin;

import java.util.Locale;

/**
 * The kinds of processes of the system.
 */
public enum ProcessKind {
    /** Takes callers' requests. */
    ENTRY,
    /** Runs beside a target. */
    AGENT;

    /**
     * Returns the word in operators' documents.
     *
     * @return {@code entry} or {@code agent}
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
