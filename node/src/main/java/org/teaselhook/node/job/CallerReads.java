package org.teaselhook.node.job;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Reads of all callers' connections on request, one at a time. Those that have ended were reported before a read is
 * complete. Thread-safe.
 */
final class CallerReads {

    private final Consumer<LongConsumer> reader;
    private final Runnable onComplete;
    private final AtomicBoolean inProgress = new AtomicBoolean();
    private volatile long readAt;

    /**
     * Creates an instance.
     *
     * @param startedAt when the process started, in nanoseconds; no connection was read before
     * @param reader reads the connections, and calls its argument with the time after which all of them were read
     * @param onComplete runs after each read, on an I/O thread
     */
    CallerReads(long startedAt, Consumer<LongConsumer> reader, Runnable onComplete) {
        this.readAt = startedAt;
        this.reader = Objects.requireNonNull(reader, "reader is null");
        this.onComplete = Objects.requireNonNull(onComplete, "onComplete is null");
    }

    /** Returns a time after which all connections were read, in nanoseconds. */
    long readAt() {
        return readAt;
    }

    /** Starts a read unless one is in progress. */
    void start() {
        if (inProgress.compareAndSet(false, true)) {
            reader.accept(this::complete);
        }
    }

    private void complete(long completedReadAt) {
        readAt = completedReadAt;
        inProgress.set(false);
        onComplete.run();
    }
}
