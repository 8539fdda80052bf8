package org.teaselhook.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * The resource usage of a process, read from {@code /proc}.
 *
 * @param cpuNanos CPU time of all threads since the start of the process, in nanoseconds
 * @param residentBytes resident set size, in bytes
 */
public record ProcessUsage(long cpuNanos, long residentBytes) {

    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long PAGE_BYTES = 4_096;
    private static final int UTIME_FIELD = 11;
    private static final int STIME_FIELD = 12;
    private static final int RSS_FIELD = 21;

    /**
     * Reads the usage of a running process.
     *
     * @param pid the process id
     * @return the usage
     * @throws UncheckedIOException if there is no such process
     */
    public static ProcessUsage of(long pid) {
        try {
            String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            long ticks = Long.parseLong(fields[UTIME_FIELD]) + Long.parseLong(fields[STIME_FIELD]);
            return new ProcessUsage(ticks * TICK_NANOS, Long.parseLong(fields[RSS_FIELD]) * PAGE_BYTES);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
