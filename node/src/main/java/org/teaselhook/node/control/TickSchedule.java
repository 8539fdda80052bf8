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

    /** Periodic ticks due within this time run together with those that are due now, which saves wake-ups. */
    static final long COALESCING_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final List<Timer> timers = new ArrayList<>();

    void add(long nowNanos, long intervalNanos, Consumer<Long> tick) {
        timers.add(new Periodic(intervalNanos, tick, nowNanos + intervalNanos));
    }

    void add(LongSupplier deadlineNanos, Consumer<Long> action) {
        timers.add(new Deadline(deadlineNanos, action));
    }

    int runDue(long nowNanos, Consumer<Consumer<Long>> runner) {
        int done = 0;
        for (int i = 0; i < timers.size(); i++) {
            Timer timer = timers.get(i);
            if (timer.isDue(nowNanos)) {
                timer.reschedule(nowNanos);
                runner.accept(timer.action());
                done++;
            }
        }
        return done;
    }

    long nanosUntilDue(long nowNanos) {
        long result = Long.MAX_VALUE;
        for (Timer timer : timers) {
            result = Math.min(result, timer.nanosUntilDue(nowNanos));
        }
        return Math.max(0, result);
    }

    private interface Timer {

        Consumer<Long> action();

        boolean isDue(long nowNanos);

        long nanosUntilDue(long nowNanos);

        void reschedule(long nowNanos);
    }

    private static final class Periodic implements Timer {
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
            return nanosUntilDue(nowNanos) <= Math.min(COALESCING_NANOS, intervalNanos / 2);
        }

        @Override
        public long nanosUntilDue(long nowNanos) {
            return dueNanos - nowNanos;
        }

        @Override
        public void reschedule(long nowNanos) {
            dueNanos = nowNanos + intervalNanos;
        }
    }

    private record Deadline(LongSupplier deadlineNanos, Consumer<Long> action) implements Timer {

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
        public void reschedule(long nowNanos) {
            // The action itself moves the deadline.
        }
    }
}
