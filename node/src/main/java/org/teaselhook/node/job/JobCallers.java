package org.teaselhook.node.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.teaselhook.core.job.JobResult;

/**
 * The callers waiting for each job. Confined to the control thread.
 */
final class JobCallers {

    private final Map<String, List<JobCaller>> waiting = new HashMap<>();

    void add(String jobId, JobCaller caller) {
        waiting.computeIfAbsent(jobId, id -> new ArrayList<>(1)).add(caller);
    }

    /** Removes a caller, and tells whether it was the last one of the job. */
    boolean remove(String jobId, JobCaller caller) {
        List<JobCaller> callers = waiting.get(jobId);
        boolean last = callers != null && callers.remove(caller) && callers.isEmpty();
        if (last) {
            waiting.remove(jobId);
        }
        return last;
    }

    /**
     * Returns a time after which a caller of a job was connected, in nanoseconds.
     *
     * @param readAt a time after which all connections were read
     */
    OptionalLong seenAt(String jobId, long readAt) {
        return waiting.getOrDefault(jobId, List.of()).stream()
                .filter(JobCaller::isConnected)
                .mapToLong(caller -> Math.max(caller.receivedAt(), readAt))
                .max();
    }

    void answer(String jobId, JobResult result) {
        List<JobCaller> callers = waiting.remove(jobId);
        if (callers != null) {
            callers.forEach(caller -> caller.answer().complete(result));
        }
    }
}
