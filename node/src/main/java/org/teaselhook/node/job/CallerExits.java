package org.teaselhook.node.job;

import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;

/**
 * The ends of callers' connections that the control thread has not handled yet. It handles them before other events
 * that came earlier, at its next tick if its queue is long: callers that have left may resend their jobs elsewhere.
 */
final class CallerExits {

    private final Executor control;
    private final Queue<Runnable> unhandled = new ConcurrentLinkedQueue<>();

    CallerExits(Executor control) {
        this.control = Objects.requireNonNull(control, "control is null");
    }

    /**
     * Adds the end of a caller's connection. Called on I/O threads.
     *
     * @param handler stops the runs of the caller's job, on the control thread
     */
    void add(Runnable handler) {
        unhandled.add(handler);
        control.execute(this::handleAll);
    }

    /** Handles all ends. Called on the control thread. */
    void handleAll() {
        Runnable next = unhandled.peek();
        while (next != null) {
            try {
                next.run();
            } finally {
                unhandled.remove();
            }
            next = unhandled.peek();
        }
    }

    /** Whether every end that was added has been handled. Called on any thread. */
    boolean areHandled() {
        return unhandled.isEmpty();
    }
}
