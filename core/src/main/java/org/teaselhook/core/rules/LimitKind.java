package org.teaselhook.core.rules;

import java.util.Arrays;
import java.util.Optional;

/**
 * The kinds of limits that a rules file may set.
 */
public enum LimitKind {
    /** The maximum number of tasks of a job. */
    JOB_TASKS("job-tasks", 1, 100_000),
    /** The maximum size of a request body in bytes. */
    BODY_BYTES("body-bytes", 1, 256L << 20);

    private final String keyword;
    private final long min;
    private final long max;

    LimitKind(String keyword, long min, long max) {
        this.keyword = keyword;
        this.min = min;
        this.max = max;
    }

    // -- factories

    /**
     * Finds a limit by its keyword.
     *
     * @param keyword the keyword in the rules file
     * @return the limit, or empty if there is none
     */
    public static Optional<LimitKind> of(String keyword) {
        return Arrays.stream(values())
                .filter(kind -> kind.keyword.equals(keyword))
                .findFirst();
    }

    // -- accessors

    /**
     * Returns the keyword in the rules file.
     *
     * @return the keyword, such as {@code job-tasks}
     */
    public String keyword() {
        return keyword;
    }

    /**
     * Returns the minimum value.
     *
     * @return the minimum value, inclusive
     */
    public long min() {
        return min;
    }

    /**
     * Returns the maximum value.
     *
     * @return the maximum value, inclusive
     */
    public long max() {
        return max;
    }
}
