package org.teaselhook.bench.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/** Reads the live heap size of another JVM. Each reading triggers a full garbage collection there. */
final class LiveHeap {

    private static final String TOTAL = "Total";
    private static final int BYTES_FIELD = 2;

    private LiveHeap() {}

    /** Returns the live heap of a JVM in bytes. */
    static double liveBytes(long pid) {
        String tool = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        try {
            Process process = new ProcessBuilder(List.of(tool, Long.toString(pid), "GC.class_histogram"))
                    .redirectErrorStream(true)
                    .start();
            return parse(new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Parses the bytes from the last line of a class histogram: {@code Total <instances> <bytes>}. */
    static double parse(String histogram) {
        return histogram
                .lines()
                .filter(line -> line.startsWith(TOTAL))
                .mapToDouble(line -> Double.parseDouble(line.trim().split("\\s+")[BYTES_FIELD]))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("no total line in the class histogram: " + histogram));
    }
}
