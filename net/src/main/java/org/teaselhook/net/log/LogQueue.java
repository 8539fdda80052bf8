package org.teaselhook.net.log;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;

import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;

/**
 * A bounded queue of log lines that a background thread writes to a stream. Adding a line never blocks: if there is no
 * room for it, it is dropped, and the number of dropped lines is written with the next batch.
 */
public final class LogQueue implements AutoCloseable {

    /** How long lines are collected before they are written as one batch, in ns, to save system calls. */
    private static final long BATCH_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private static final long FLUSH_TIMEOUT_MILLIS = 1_000;

    private final ManyToOneConcurrentArrayQueue<String> lines;
    private final LogRateLimiter limiter;
    private final OutputStream out;
    private final LongConsumer onDropped;
    private final Thread writer;
    private volatile boolean idle;
    private volatile boolean closed;

    private LogQueue(int capacity, LogRateLimiter limiter, OutputStream out, LongConsumer onDropped) {
        this.onDropped = onDropped;
        this.lines = new ManyToOneConcurrentArrayQueue<>(capacity);
        this.limiter = limiter;
        this.out = new BufferedOutputStream(out, 64 * 1024);
        this.writer = new Thread(this::write, "log-writer");
        this.writer.setDaemon(true);
    }

    /**
     * Starts a queue and its writer thread.
     *
     * @param capacity the maximum number of queued lines
     * @param routineLinesPerSecond the maximum number of routine lines per second
     * @param out the stream that lines are written to
     * @param onDropped called with the number of lines dropped since its last call
     * @return the queue
     */
    public static LogQueue start(int capacity, int routineLinesPerSecond, OutputStream out, LongConsumer onDropped) {
        LogQueue queue = new LogQueue(capacity, LogRateLimiter.of(routineLinesPerSecond, capacity), out, onDropped);
        queue.writer.start();
        return queue;
    }

    /**
     * Adds a line, or drops it if there is no room. Does not block.
     *
     * @param nowNanos the current time
     * @param failure whether the line reports a failure
     * @param line the line, with its line break
     */
    public void add(long nowNanos, boolean failure, String line) {
        if (limiter.tryAcquire(nowNanos, failure, lines.size()) && lines.offer(line) && idle) {
            LockSupport.unpark(writer);
        }
    }

    /** Writes the queued lines, for at most one second. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(writer);
        try {
            writer.join(FLUSH_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write() {
        try {
            while (!closed || !lines.isEmpty()) {
                awaitLines();
                writeAll();
            }
        } catch (IOException e) {
            // The output is closed or broken, so the failure cannot be logged.
            closed = true;
        }
    }

    private void awaitLines() {
        idle = true;
        while (lines.isEmpty() && !closed) {
            LockSupport.park(this);
        }
        idle = false;
        if (!closed) {
            LockSupport.parkNanos(this, BATCH_NANOS);
        }
    }

    private void writeAll() throws IOException {
        for (String line = lines.poll(); line != null; line = lines.poll()) {
            out.write(line.getBytes(StandardCharsets.UTF_8));
        }
        long dropped = limiter.takeDropped();
        if (dropped > 0) {
            onDropped.accept(dropped);
            String line = "level=WARN event=log-lines-dropped count=" + dropped + System.lineSeparator();
            out.write(line.getBytes(StandardCharsets.UTF_8));
        }
        out.flush();
    }
}
