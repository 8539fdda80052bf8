package org.teaselhook.net.http;

import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.EventExecutor;

/**
 * Waits until an I/O thread has read what its connections hold, so that those whose other end has closed are known.
 */
final class CompletedReads {

    /** Connections that the JDK returns from one select on Linux, 1,024, less those that are not counted. */
    private static final int MAX_SELECTED = 512;

    /** Selects until the end of a connection is read: the first may return only the data before it. */
    private static final int SELECTS_UNTIL_END = 2;

    private CompletedReads() {}

    /**
     * Runs an action on an I/O thread, after it has read what its connections hold at the time of this call.
     *
     * @param thread the I/O thread
     * @param connections the number of its connections; up to 512 need not be counted
     * @param action the action
     */
    static void await(EventExecutor thread, int connections, Runnable action) {
        int selects = SELECTS_UNTIL_END * (1 + connections / MAX_SELECTED);
        thread.execute(() -> awaitSelects(thread, selects, action));
    }

    private static void awaitSelects(EventExecutor thread, int selects, Runnable action) {
        if (selects == 0) {
            action.run();
        } else {
            // Unlike an executed task, a scheduled one runs after the next select even without a delay.
            thread.schedule(() -> awaitSelects(thread, selects - 1, action), 0, TimeUnit.NANOSECONDS);
        }
    }
}
