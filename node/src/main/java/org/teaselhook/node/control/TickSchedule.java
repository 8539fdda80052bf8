package org.teaselhook.node.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The periodic actions and the deadlines of a loop. Confined to the loop's thread.
 */
final class TickSchedule {

    /** Periodic ticks that are due within this time run with those that are due now, so that one wake-up serves all. */
    static final long COALESCED_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final List<Entry> entries = new ArrayList<>();

    void add(long nowNanos, long intervalNanos, Consumer<Long> tick) {
        entries.add(new Periodic(intervalNanos, tick, nowNanos + intervalNanos));
    }

    void add(LongSupplier deadlineNanos, Consumer<Long> action) {
        entries.add(new Deadline(deadlineNanos, action));
    }

    int runDue(long nowNanos, Consumer<Consumer<Long>> run) {
        int done = 0;
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            if (entry.isDue(nowNanos)) {
                entry.next(nowNanos);
                run.accept(entry.action());
                done++;
            }
        }
        return done;
    }

    long nanosUntilDue(long nowNanos) {
        long result = Long.MAX_VALUE;
        for (Entry entry : entries) {
            result = Math.min(result, entry.nanosUntilDue(nowNanos));
        }
        return Math.max(0, result);
    }

    private interface Entry {

        Consumer<Long> action();

        boolean isDue(long nowNanos);

        long nanosUntilDue(long nowNanos);

        void next(long nowNanos);
    }

    private static final class Periodic implements Entry {
        private final long intervalNanos;
        private final Consumer<Long> tick;
        private long dueNanos;

        Periodic(long intervalNanos, Consumer<Long> tick, long dueNanos) {
            this.intervalNanos = intervalNanos;
            this.tick = tick;
            this.dueNanos = dueNanos;
        }

        @Override
        public Consumer<Long> action() {
            return tick;
        }

        @Override
        public boolean isDue(long nowNanos) {
            return nanosUntilDue(nowNanos) <= Math.min(COALESCED_NANOS, intervalNanos / 2);
        }

        @Override
        public long nanosUntilDue(long nowNanos) {
            return dueNanos - nowNanos;
        }

        @Override
        public void next(long nowNanos) {
            dueNanos = nowNanos + intervalNanos;
        }
    }

    private record Deadline(LongSupplier deadlineNanos, Consumer<Long> action) implements Entry {

        @Override
        public boolean isDue(long nowNanos) {
            return nanosUntilDue(nowNanos) <= 0;
        }

        @Override
        public long nanosUntilDue(long nowNanos) {
            long deadline = deadlineNanos.getAsLong();
            return deadline == Long.MAX_VALUE ? Long.MAX_VALUE : deadline - nowNanos;
        }

        @Override
        public void next(long nowNanos) {
            // The action moves the deadline.
        }
    }
}
