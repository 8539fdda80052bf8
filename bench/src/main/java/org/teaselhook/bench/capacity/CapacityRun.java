package org.teaselhook.bench.capacity;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What every part is given.
 *
 * @param out where lines go
 * @param directory where settings and logs of processes are kept
 * @param seconds how long each point is measured
 */
record CapacityRun(PrintWriter out, Path directory, double seconds) {

    Series series(String part, String unit) {
        return new Series(part, unit, out);
    }

    Path directory(String name) throws IOException {
        return Files.createDirectories(directory.resolve(name));
    }
}
