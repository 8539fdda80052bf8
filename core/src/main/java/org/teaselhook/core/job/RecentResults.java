package org.teaselhook.core.job;

import java.util.Optional;

import org.teaselhook.core.collection.BoundedMap;

/**
 * The recent results that are final, for copies of the same request that arrive after the answer. Bounded.
 */
final class RecentResults {

    /** One minute's jobs at the rate of one entry. */
    private static final int CAPACITY = 4_096;

    private final BoundedMap<String, JobResult> results = BoundedMap.of(CAPACITY);

    Optional<JobResult> find(String jobId) {
        return results.find(jobId);
    }

    void put(String jobId, JobResult result) {
        if (result instanceof JobResult.Completed || result instanceof JobResult.Failed) {
            results.put(jobId, result);
        }
    }
}
