package org.teaselhook.core.rules;

import java.util.Arrays;
import java.util.Optional;

/**
 * The limits that a rules file may set.
 */
public enum LimitKind {
    /** The greatest number of tasks of one job. */
    JOB_TASKS("job-tasks", 1, 100_000),
    /** The greatest size of a request's body in bytes. */
    BODY_BYTES("body-bytes", 1, 256L << 20);

    private final String word;
    private final long least;
    private final long greatest;

    LimitKind(String word, long least, long greatest) {
        this.word = word;
        this.least = least;
        this.greatest = greatest;
    }

    // -- factories

    /**
     * Finds a limit by its word.
     *
     * @param word the word in the rules file
     * @return the limit, or empty
     */
    public static Optional<LimitKind> of(String word) {
        return Arrays.stream(values()).filter(kind -> kind.word.equals(word)).findFirst();
    }

    // -- accessors

    /**
     * Returns the word in the rules file.
     *
     * @return such as {@code job-tasks}
     */
    public String word() {
        return word;
    }

    /**
     * Returns the least value.
     *
     * @return the least value, inclusive
     */
    public long least() {
        return least;
    }

    /**
     * Returns the greatest value.
     *
     * @return the greatest value, inclusive
     */
    public long greatest() {
        return greatest;
    }
}
