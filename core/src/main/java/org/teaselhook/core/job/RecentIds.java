package org.teaselhook.core.job;

import org.teaselhook.core.collection.BoundedMap;

/**
 * The most recently added job ids. Bounded; thread-safe.
 */
public final class RecentIds {

    /** One minute's ids at the rate of one entry, which is longer than callers retry a job. */
    private static final int CAPACITY = 4_096;

    private final BoundedMap<String, Boolean> ids = BoundedMap.of(CAPACITY);

    private RecentIds() {}

    /**
     * Returns an empty set.
     *
     * @return a new set
     */
    public static RecentIds empty() {
        return new RecentIds();
    }

    /**
     * Adds a job.
     *
     * @param jobId its id
     */
    public synchronized void add(String jobId) {
        ids.put(jobId, Boolean.TRUE);
    }

    /**
     * Tells whether a job is among the recently added ones.
     *
     * @param jobId its id
     * @return true if so
     */
    public synchronized boolean contains(String jobId) {
        return ids.find(jobId).isPresent();
    }
}
