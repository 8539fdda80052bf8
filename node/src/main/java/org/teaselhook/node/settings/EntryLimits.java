package org.teaselhook.node.settings;

import java.time.Duration;

/**
 * Bounds of what one entry holds.
 *
 * @param maxBodyBytes the greatest size of a request's body
 * @param maxTasksPerJob the greatest number of tasks of one job
 * @param maxConnections the greatest number of callers' connections
 * @param keptAnswersBytes the memory for answers kept for resubmissions
 * @param keptAnswersTime how long an answer is kept
 */
public record EntryLimits(
        int maxBodyBytes, int maxTasksPerJob, int maxConnections, long keptAnswersBytes, Duration keptAnswersTime) {

    /** The default of {@link #maxBodyBytes()}. */
    public static final int MAX_BODY_BYTES = 4 << 20;
    /** The default of {@link #maxTasksPerJob()}. */
    public static final int MAX_TASKS_PER_JOB = 512;
    /** The default of {@link #maxConnections()}. */
    public static final int MAX_CONNECTIONS = 10_000;
    /** The default of {@link #keptAnswersBytes()}. */
    public static final long KEPT_ANSWERS_BYTES = 64L << 20;
    /** The default of {@link #keptAnswersTime()} in seconds. */
    public static final int KEPT_ANSWERS_SECONDS = 600;

    /**
     * Returns the defaults.
     *
     * @return the limits of an entry whose settings name none
     */
    public static EntryLimits standard() {
        return new EntryLimits(
                MAX_BODY_BYTES,
                MAX_TASKS_PER_JOB,
                MAX_CONNECTIONS,
                KEPT_ANSWERS_BYTES,
                Duration.ofSeconds(KEPT_ANSWERS_SECONDS));
    }
}
