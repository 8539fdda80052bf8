package org.teaselhook.net.log;

import java.time.ZoneId;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * A tinylog writer for standard output that limits the rate of lines and never blocks. Its property {@code lines} is
 * the maximum number of lines per second below level WARN.
 */
public final class BoundedWriter implements Writer {

    /** The default of the property {@code lines}: several lines per task at the task rate of one entry. */
    public static final int DEFAULT_LINES_PER_SECOND = 2_000;

    private static final int QUEUE_CAPACITY = 8_192;

    /** The initial buffer size: fits a typical line with its time, level and thread. */
    private static final int TYPICAL_LENGTH = 256;

    private static final AtomicLong DROPPED = new AtomicLong();

    private final TimestampFormatter time = TimestampFormatter.in(ZoneId.systemDefault());

    private final LogQueue queue;

    /**
     * Creates a writer; called by tinylog.
     *
     * @param properties the writer's properties
     */
    public BoundedWriter(Map<String, String> properties) {
        queue = LogQueue.start(QUEUE_CAPACITY, linesPerSecond(properties), System.out, DROPPED::addAndGet);
    }

    /**
     * Returns the number of lines that this process has dropped.
     *
     * @return the number
     */
    public static long droppedLines() {
        return DROPPED.get();
    }

    private static int linesPerSecond(Map<String, String> properties) {
        String text = properties.getOrDefault("lines", String.valueOf(DEFAULT_LINES_PER_SECOND));
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            System.err.println("log property lines=" + text + " is not a number; using " + DEFAULT_LINES_PER_SECOND);
            return DEFAULT_LINES_PER_SECOND;
        }
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.THREAD, LogEntryValue.MESSAGE);
    }

    @Override
    public void write(LogEntry entry) {
        boolean failure = entry.getLevel().ordinal() >= Level.WARN.ordinal();
        queue.add(System.nanoTime(), failure, line(entry));
    }

    private String line(LogEntry entry) {
        StringBuilder line = new StringBuilder(TYPICAL_LENGTH);
        time.append(line, entry.getTimestamp().toInstant());
        return line.append(" level=")
                .append(entry.getLevel())
                .append(" thread=")
                .append(entry.getThread().getName())
                .append(' ')
                .append(entry.getMessage())
                .append(System.lineSeparator())
                .toString();
    }

    @Override
    public void flush() {
        // The queue's writer thread flushes after each batch.
    }

    @Override
    public void close() {
        queue.close();
    }
}
