package org.teaselhook.net.log;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.AbstractFormatPatternWriter;

/**
 * A writer of tinylog's that puts lines on standard output within a bound and never blocks. Its properties are {@code
 * format}, and {@code lines}: the greatest number of routine lines in a second.
 */
public final class BoundedWriter extends AbstractFormatPatternWriter {

    /** The default of the property {@code lines}: several for each task at the rate of one entry. */
    public static final int DEFAULT_LINES_PER_SECOND = 2_000;

    private static final int QUEUE_CAPACITY = 8_192;

    private static final AtomicLong DROPPED = new AtomicLong();

    private final LogQueue queue;

    /**
     * Creates the writer; called by tinylog.
     *
     * @param properties the writer's properties
     */
    public BoundedWriter(Map<String, String> properties) {
        super(properties);
        queue = LogQueue.start(QUEUE_CAPACITY, linesPerSecond(properties), System.out, DROPPED::addAndGet);
    }

    /**
     * Counts the lines that this process has dropped.
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
        Set<LogEntryValue> values = EnumSet.of(LogEntryValue.LEVEL);
        values.addAll(super.getRequiredLogEntryValues());
        return values;
    }

    @Override
    public void write(LogEntry entry) {
        boolean failure = entry.getLevel().ordinal() >= Level.WARN.ordinal();
        queue.add(System.nanoTime(), failure, render(entry));
    }

    @Override
    public void flush() {
        // The queue's own thread flushes.
    }

    @Override
    public void close() {
        queue.close();
    }
}
