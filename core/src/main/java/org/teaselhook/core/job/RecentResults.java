package org.teaselhook.core.job;

import java.util.Optional;

import org.teaselhook.core.collection.BoundedMap;

/**
 * The results of jobs that are decided for good, for copies of the same request that arrive after the answer. Bounded.
 */
final class RecentResults {

    /** The number of jobs kept: a minute's at the rate of one entry. */
    private static final int KEPT = 4_096;

    private final BoundedMap<String, JobResult> results = BoundedMap.of(KEPT);

    Optional<JobResult> find(String jobId) {
        return results.find(jobId);
    }

    void keep(String jobId, JobResult result) {
        if (result instanceof JobResult.Completed || result instanceof JobResult.Failed) {
            results.put(jobId, result);
        }
    }
}
