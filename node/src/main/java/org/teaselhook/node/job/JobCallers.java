package org.teaselhook.node.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.teaselhook.core.job.JobResult;

/**
 * The callers waiting for each job. Confined to the control thread.
 */
final class JobCallers {

    private final Map<String, List<CompletableFuture<JobResult>>> waiting = new HashMap<>();

    void add(String jobId, CompletableFuture<JobResult> caller) {
        waiting.computeIfAbsent(jobId, id -> new ArrayList<>(1)).add(caller);
    }

    /** Removes a caller, and tells whether it was the last one of the job. */
    boolean remove(String jobId, CompletableFuture<JobResult> caller) {
        List<CompletableFuture<JobResult>> callers = waiting.get(jobId);
        boolean last = callers != null && callers.remove(caller) && callers.isEmpty();
        if (last) {
            waiting.remove(jobId);
        }
        return last;
    }

    void answer(String jobId, JobResult result) {
        List<CompletableFuture<JobResult>> callers = waiting.remove(jobId);
        if (callers != null) {
            callers.forEach(caller -> caller.complete(result));
        }
    }
}
