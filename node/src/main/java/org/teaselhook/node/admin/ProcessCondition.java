package org.teaselhook.node.admin;

import java.util.Locale;

/**
 * The condition of a process as observed by an entry.
 */
public enum ProcessCondition {
    /** The process responds. */
    LIVE,
    /** The process responds and is stopping. */
    LEAVING,
    /** The process was live but has not responded for several seconds. */
    SILENT;

    /**
     * Returns the label in responses to operators.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the condition of a process that responds.
     *
     * @param leaving whether it is stopping
     * @return {@link #LEAVING} or {@link #LIVE}
     */
    public static ProcessCondition ofResponding(boolean leaving) {
        return leaving ? LEAVING : LIVE;
    }
}
