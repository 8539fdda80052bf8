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

import org.teaselhook.app.explain.RequestTimeline;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Prints the timeline of a request from the logs of several processes.
 */
@Command(
        name = "explain",
        description = {
            "Prints the log lines of entries and agents about one request, in order of time, together with related",
            "events of the processes involved, such as lost sessions. Reads standard input if no file is given."
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
            description =
                    "Time before and after the request in which other events are included (default: ${DEFAULT-VALUE}).")
    private long aroundMillis;

    @Override
    public Integer call() throws IOException {
        RequestTimeline timeline = RequestTimeline.of(id);
        if (files.isEmpty()) {
            read(timeline, "stdin", new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)));
        }
        for (Path file : files) {
            try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.ISO_8859_1)) {
                read(timeline, String.valueOf(file.getFileName()), reader);
            }
        }
        return print(timeline, System.out) ? 0 : 1;
    }

    private static void read(RequestTimeline timeline, String process, BufferedReader reader) throws IOException {
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            timeline.add(process, line);
        }
    }

    private boolean print(RequestTimeline timeline, PrintStream out) {
        List<String> lines = timeline.format(aroundMillis);
        lines.forEach(out::println);
        if (lines.isEmpty()) {
            out.println("no line contains " + id + ": the request did not reach these processes, their logs are from"
                    + " another time, or its lines were dropped (see event=log-lines-dropped)");
        }
        out.println("lines=" + timeline.lineCount() + " unreadable=" + timeline.unreadableCount());
        return !lines.isEmpty();
    }
}
