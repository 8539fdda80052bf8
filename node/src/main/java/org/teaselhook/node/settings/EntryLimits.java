package org.teaselhook.node.settings;

import java.time.Duration;

/**
 * Limits on the memory and connections of an entry.
 *
 * @param maxBodyBytes the maximum size of a request's body, in bytes
 * @param maxTasksPerJob the maximum number of tasks of a job
 * @param maxConnections the maximum number of connections from callers
 * @param answerCacheBytes the size of the cache of answers for resubmissions, in bytes
 * @param answerCacheRetention how long an answer is cached
 */
public record EntryLimits(
        int maxBodyBytes,
        int maxTasksPerJob,
        int maxConnections,
        long answerCacheBytes,
        Duration answerCacheRetention) {

    /** The default of {@link #maxBodyBytes()}. */
    public static final int MAX_BODY_BYTES = 4 << 20;
    /** The default of {@link #maxTasksPerJob()}. */
    public static final int MAX_TASKS_PER_JOB = 512;
    /** The default of {@link #maxConnections()}. */
    public static final int MAX_CONNECTIONS = 10_000;
    /** The default of {@link #answerCacheBytes()}. */
    public static final long ANSWER_CACHE_BYTES = 64L << 20;
    /** The default of {@link #answerCacheRetention()} in seconds. */
    public static final int ANSWER_CACHE_SECONDS = 600;

    /**
     * Returns the defaults.
     *
     * @return the limits of an entry whose settings define none
     */
    public static EntryLimits standard() {
        return new EntryLimits(
                MAX_BODY_BYTES,
                MAX_TASKS_PER_JOB,
                MAX_CONNECTIONS,
                ANSWER_CACHE_BYTES,
                Duration.ofSeconds(ANSWER_CACHE_SECONDS));
    }
}
