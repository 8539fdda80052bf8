package org.teaselhook.bench.load;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.teaselhook.standin.target.TaskListener;
import org.teaselhook.standin.target.TaskStart;

/** Counts task starts at targets, and among them the repeated starts of the same task. */
final class StartCounter implements TaskListener {

    private final Set<String> startedTasks = ConcurrentHashMap.newKeySet();
    private final AtomicLong starts = new AtomicLong();
    private final AtomicLong repeatedStarts = new AtomicLong();

    @Override
    public void started(TaskStart start) {
        starts.incrementAndGet();
        if (!startedTasks.add(start.submission() + "/" + start.taskIndex())) {
            repeatedStarts.incrementAndGet();
        }
    }

    @Override
    public void ended(TaskStart start, int status, long wallMillis) {
        // Only starts count.
    }

    /** Resets the counts but remembers which tasks have started. */
    void reset() {
        starts.set(0);
        repeatedStarts.set(0);
    }

    long starts() {
        return starts.get();
    }

    long repeatedStarts() {
        return repeatedStarts.get();
    }
}
