package org.teaselhook.bench.agentcost;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.teaselhook.bench.process.ProcessUsage;

/**
 * The resource usage of a process at one moment, read from {@code /proc}.
 *
 * @param atNanos time of the reading on the monotonic clock
 * @param cpuNanos processor time of all threads since the process started
 * @param residentBytes resident memory, including mapped files
 * @param privateBytes resident memory that is not backed by files
 * @param transferredBytes bytes read and written by system calls since the process started, by sockets and the log
 */
record DaemonUsage(long atNanos, long cpuNanos, long residentBytes, long privateBytes, long transferredBytes) {

    private static final long KIBIBYTE = 1_024;

    static DaemonUsage of(long pid) {
        ProcessUsage usage = ProcessUsage.of(pid);
        return new DaemonUsage(
                System.nanoTime(),
                usage.cpuNanos(),
                usage.residentBytes(),
                KIBIBYTE * readNumber(pid, "status", "RssAnon:"),
                readNumber(pid, "io", "rchar:") + readNumber(pid, "io", "wchar:"));
    }

    private static long readNumber(long pid, String file, String name) {
        try {
            List<String> lines = Files.readAllLines(Path.of("/proc", Long.toString(pid), file));
            return lines.stream()
                    .filter(line -> line.startsWith(name))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                    .sum();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
