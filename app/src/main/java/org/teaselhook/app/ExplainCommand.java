package org.teaselhook.app;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import org.teaselhook.app.explain.LogStory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Tells one request's story out of the logs of several processes.
 */
@Command(
        name = "explain",
        description = {
            "Prints what the logs of entries and agents say of one request, in order of time, with what the processes",
            "that had a part in it lost or regained meanwhile. Reads standard input if no file is named."
        },
        mixinStandardHelpOptions = true)
final class ExplainCommand implements Callable<Integer> {

    @Parameters(index = "0", paramLabel = "ID", description = "The request's id.")
    private String id;

    @Parameters(index = "1..*", paramLabel = "FILE", description = "Log files, one for each process.")
    private List<Path> files = new ArrayList<>();

    @Option(
            names = "--around-ms",
            defaultValue = "2000",
            description = "How long before and after the request other events count (default: ${DEFAULT-VALUE}).")
    private long aroundMillis;

    @Override
    public Integer call() throws IOException {
        LogStory story = LogStory.of(id);
        if (files.isEmpty()) {
            read(story, "stdin", new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)));
        }
        for (Path file : files) {
            try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.ISO_8859_1)) {
                read(story, String.valueOf(file.getFileName()), reader);
            }
        }
        return print(story, System.out) ? 0 : 1;
    }

    private static void read(LogStory story, String process, BufferedReader lines) throws IOException {
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            story.add(process, line);
        }
    }

    private boolean print(LogStory story, PrintStream out) {
        List<String> told = story.tell(aroundMillis);
        told.forEach(out::println);
        if (told.isEmpty()) {
            out.println("no line names " + id + ": the request did not reach these processes, their logs are from"
                    + " another time, or its lines were dropped (see event=log-lines-dropped)");
        }
        out.println("lines=" + story.lines() + " unreadable=" + story.unreadable());
        return !told.isEmpty();
    }
}
