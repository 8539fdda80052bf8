package org.teaselhook.bench.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import picocli.CommandLine.Option;

/** The option {@code --directory} of the commands that run a site. */
public final class LogDirectory {

    @Option(names = "--directory", description = "Where settings and logs are kept; a temporary one by default.")
    private Path directory;

    /**
     * Creates the directory unless it exists.
     *
     * @param prefix the first part of a temporary directory's name
     * @return the directory that was asked for, else a temporary one
     * @throws IOException if it cannot be created
     */
    public Path create(String prefix) throws IOException {
        return directory == null ? Files.createTempDirectory(prefix) : Files.createDirectories(directory);
    }
}
