package org.teaselhook.core.lease;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The highest run number used for each task of late, since a worker turns down one that is not higher. Bounded.
 */
final class RunNumbers {

    /** The number of tasks remembered: a minute's at one worker, longer than a job is sent again. */
    private static final int REMEMBERED_TASKS = 4_096;

    private final Map<String, Integer> highest = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > REMEMBERED_TASKS;
        }
    };

    RunId next(RunId least) {
        int number = Math.max(least.number(), highest.getOrDefault(least.task(), 0) + 1);
        return new RunId(least.task(), number);
    }

    void used(RunId run) {
        highest.merge(run.task(), run.number(), Math::max);
    }
}
