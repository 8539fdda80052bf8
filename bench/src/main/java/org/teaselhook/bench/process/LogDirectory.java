package org.teaselhook.bench.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import picocli.CommandLine.Option;

/** The option {@code --directory} of the commands that run a site. */
public final class LogDirectory {

    @Option(names = "--directory", description = "Directory of settings and logs; by default a temporary one.")
    private Path directory;

    /**
     * Creates the directory unless it exists.
     *
     * @param prefix the prefix of a temporary directory's name
     * @return the directory given by the option, otherwise a new temporary one
     * @throws IOException if it cannot be created
     */
    public Path create(String prefix) throws IOException {
        return directory == null ? Files.createTempDirectory(prefix) : Files.createDirectories(directory);
    }
}
