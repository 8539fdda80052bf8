package org.teaselhook.node.admin;

import java.util.Locale;

/**
 * How a process of the system does, as an entry sees it.
 */
public enum ProcessCondition {
    /** It answers. */
    LIVE,
    /** It answers and is stopping. */
    LEAVING,
    /** It was live and has not answered for some seconds. */
    SILENT;

    /**
     * Returns the word in operators' documents.
     *
     * @return the name in lower case
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the condition of a process that answers.
     *
     * @param leaving whether it is stopping
     * @return {@link #LEAVING} or {@link #LIVE}
     */
    public static ProcessCondition answering(boolean leaving) {
        return leaving ? LEAVING : LIVE;
    }
}
