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
 * Lines on their way to a stream, written by a thread of its own. Adding a line never blocks: a line for which there is
 * no room is dropped and counted, and the count is written as soon as there is room.
 */
public final class LogQueue implements AutoCloseable {

    /** How long lines are gathered before they are written, in ns, since each write has its price. */
    private static final long GATHER_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private static final long FLUSH_TIMEOUT_MILLIS = 1_000;

    private final ManyToOneConcurrentArrayQueue<String> lines;
    private final LogBudget budget;
    private final OutputStream out;
    private final LongConsumer onDropped;
    private final Thread writer;
    private volatile boolean idle;
    private volatile boolean closed;

    private LogQueue(int capacity, LogBudget budget, OutputStream out, LongConsumer onDropped) {
        this.onDropped = onDropped;
        this.lines = new ManyToOneConcurrentArrayQueue<>(capacity);
        this.budget = budget;
        this.out = new BufferedOutputStream(out, 64 * 1024);
        this.writer = new Thread(this::write, "log-writer");
        this.writer.setDaemon(true);
    }

    /**
     * Starts the thread that writes.
     *
     * @param capacity the greatest number of lines that wait
     * @param routineLinesPerSecond the greatest number of routine lines in a second
     * @param out where lines go
     * @param onDropped told how many lines were dropped
     * @return the queue
     */
    public static LogQueue start(int capacity, int routineLinesPerSecond, OutputStream out, LongConsumer onDropped) {
        LogQueue queue = new LogQueue(capacity, LogBudget.of(routineLinesPerSecond, capacity), out, onDropped);
        queue.writer.start();
        return queue;
    }

    /**
     * Adds a line. Does not block.
     *
     * @param nowNanos the present time
     * @param failure whether the line tells of a failure
     * @param line the line, with its line break
     */
    public void add(long nowNanos, boolean failure, String line) {
        if (budget.keeps(nowNanos, failure, lines.size()) && lines.offer(line) && idle) {
            LockSupport.unpark(writer);
        }
    }

    /** Writes what waits, within a second. */
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
            // Nobody reads the log any more; there is nowhere left to say so.
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
            LockSupport.parkNanos(this, GATHER_NANOS);
        }
    }

    private void writeAll() throws IOException {
        for (String line = lines.poll(); line != null; line = lines.poll()) {
            out.write(line.getBytes(StandardCharsets.UTF_8));
        }
        long dropped = budget.takeDropped();
        if (dropped > 0) {
            onDropped.accept(dropped);
            String line = "level=WARN event=log-lines-dropped count=" + dropped + System.lineSeparator();
            out.write(line.getBytes(StandardCharsets.UTF_8));
        }
        out.flush();
    }
}
