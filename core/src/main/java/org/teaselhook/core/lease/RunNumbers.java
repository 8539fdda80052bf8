package org.teaselhook.core.lease;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The highest run number recently used for each task. A worker refuses a run whose number is not higher than those
 * before it. Bounded in size.
 */
final class RunNumbers {

    /** The number of tasks kept: one minute of tasks at one worker, which is longer than callers resend a job. */
    private static final int MAX_TASKS = 4_096;

    private final Map<String, Integer> highest = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAX_TASKS;
        }
    };

    RunId next(RunId minimum) {
        int number = Math.max(minimum.number(), highest.getOrDefault(minimum.task(), 0) + 1);
        return new RunId(minimum.task(), number);
    }

    void markUsed(RunId run) {
        highest.merge(run.task(), run.number(), Math::max);
    }
}
