package org.teaselhook.node.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The periodic actions of a loop. Confined to the loop's thread.
 */
final class TickSchedule {

    private final List<Entry> entries = new ArrayList<>();

    void add(long nowNanos, long intervalNanos, Consumer<Long> tick) {
        entries.add(new Entry(intervalNanos, tick, nowNanos + intervalNanos));
    }

    int runDue(long nowNanos, Consumer<Consumer<Long>> run) {
        int done = 0;
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            if (entry.dueNanos - nowNanos <= 0) {
                entry.dueNanos = nowNanos + entry.intervalNanos;
                run.accept(entry.tick);
                done++;
            }
        }
        return done;
    }

    long nanosUntilDue(long nowNanos) {
        long result = Long.MAX_VALUE;
        for (Entry entry : entries) {
            result = Math.min(result, entry.dueNanos - nowNanos);
        }
        return Math.max(0, result);
    }

    private static final class Entry {
        private final long intervalNanos;
        private final Consumer<Long> tick;
        private long dueNanos;

        Entry(long intervalNanos, Consumer<Long> tick, long dueNanos) {
            this.intervalNanos = intervalNanos;
            this.tick = tick;
            this.dueNanos = dueNanos;
        }
    }
}
