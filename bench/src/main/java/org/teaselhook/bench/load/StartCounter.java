package org.teaselhook.bench.load;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.teaselhook.standin.target.TaskListener;
import org.teaselhook.standin.target.TaskStart;

/** Counts the starts at targets, and those of tasks that had started before. */
final class StartCounter implements TaskListener {

    private final Set<String> seen = ConcurrentHashMap.newKeySet();
    private final AtomicLong starts = new AtomicLong();
    private final AtomicLong repeated = new AtomicLong();

    @Override
    public void started(TaskStart start) {
        starts.incrementAndGet();
        if (!seen.add(start.submission() + "/" + start.taskIndex())) {
            repeated.incrementAndGet();
        }
    }

    @Override
    public void ended(TaskStart start, int status, long wallMillis) {
        // Only starts count.
    }

    /** Forgets the counts, not which tasks have started. */
    void reset() {
        starts.set(0);
        repeated.set(0);
    }

    long starts() {
        return starts.get();
    }

    long repeated() {
        return repeated.get();
    }
}
