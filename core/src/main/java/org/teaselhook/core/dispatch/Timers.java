package org.teaselhook.core.dispatch;

import org.teaselhook.core.queue.KeyedHeap;

/**
 * What has to be done at a later time. Setting and clearing take O(log n).
 */
final class Timers {

    /** An action at a time. */
    @FunctionalInterface
    interface Action {
        void run(long nowNanos);
    }

    /** A timer that may be set, cleared and set again; fires at most once for each setting. */
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
