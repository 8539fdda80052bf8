package org.teaselhook.core.job;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The results of jobs that are decided for good, for copies of the same request that arrive after the answer. Bounded.
 */
final class RecentResults {

    /** The number of jobs kept: a minute's at the rate of one entry. */
    private static final int KEPT = 4_096;

    private final Map<String, JobResult> results = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobResult> eldest) {
            return size() > KEPT;
        }
    };

    Optional<JobResult> find(String jobId) {
        return Optional.ofNullable(results.get(jobId));
    }

    void keep(String jobId, JobResult result) {
        if (result instanceof JobResult.Completed || result instanceof JobResult.Failed) {
            results.put(jobId, result);
        }
    }
}
