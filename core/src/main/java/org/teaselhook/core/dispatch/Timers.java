package org.teaselhook.core.dispatch;

import org.teaselhook.core.queue.KeyedHeap;

/**
 * The pending timers, ordered by time. Setting and clearing a timer take O(log n).
 */
final class Timers {

    /** The action of a timer. */
    @FunctionalInterface
    interface Action {
        void run(long nowNanos);
    }

    /** A timer that can be set, cleared and set again; fires at most once each time it is set. */
    final class Timer {
        private final Action action;
        private KeyedHeap.Handle<Timer> handle;

        private Timer(Action action) {
            this.action = action;
        }

        void set(long atNanos) {
            clear();
            handle = pending.add(atNanos, this);
        }

        void clear() {
            if (handle != null) {
                pending.remove(handle);
                handle = null;
            }
        }
    }

    private final KeyedHeap<Timer> pending = KeyedHeap.empty();

    Timer timer(Action action) {
        return new Timer(action);
    }

    long nextAt() {
        return pending.peek().map(KeyedHeap.Handle::key).orElse(Long.MAX_VALUE);
    }

    void run(long nowNanos) {
        while (nextAt() <= nowNanos) {
            Timer timer = pending.peek().orElseThrow().value();
            timer.clear();
            timer.action.run(nowNanos);
        }
    }
}
