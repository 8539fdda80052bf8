package org.teaselhook.core.job;

import org.teaselhook.core.collection.BoundedMap;

/**
 * The ids of the jobs that were noted last. Bounded; thread-safe.
 */
public final class RecentIds {

    /** The number of ids kept: a minute's at the rate of one entry, longer than callers send a job again. */
    private static final int KEPT = 4_096;

    private final BoundedMap<String, Boolean> ids = BoundedMap.of(KEPT);

    private RecentIds() {}

    /**
     * Returns an empty set.
     *
     * @return a new set
     */
    public static RecentIds none() {
        return new RecentIds();
    }

    /**
     * Notes a job.
     *
     * @param jobId its id
     */
    public synchronized void add(String jobId) {
        ids.put(jobId, Boolean.TRUE);
    }

    /**
     * Tells whether a job was noted of late.
     *
     * @param jobId its id
     * @return true if so
     */
    public synchronized boolean contains(String jobId) {
        return ids.find(jobId).isPresent();
    }
}
