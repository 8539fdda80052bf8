package org.teaselhook.bench.capacity;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The output and settings of one capacity run, shared by all parts.
 *
 * @param out the output for result lines
 * @param directory the directory for settings and logs of processes
 * @param seconds the duration of the measurement of each point
 */
record CapacityRun(PrintWriter out, Path directory, double seconds) {

    Series series(String part, String unit) {
        return new Series(part, unit, out);
    }

    Path directory(String name) throws IOException {
        return Files.createDirectories(directory.resolve(name));
    }
}
