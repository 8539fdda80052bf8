package org.teaselhook.app.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Gathers what the logs of several processes say of one request, and what these processes went through meanwhile.
 */
public final class LogStory {

    /** Events that change what a process believes, and so may be the cause of what becomes of a request. */
    private static final Set<String> CAUSES = Set.of(
            "agent-connected",
            "agent-leaving",
            "agent-lost",
            "agent-paused",
            "agent-started",
            "entry-connected",
            "entry-lost",
            "entry-ready",
            "entry-silent",
            "entry-started",
            "entry-stopping",
            "entry-unready",
            "log-lines-dropped",
            "routes-applied",
            "settings-reloaded",
            "store-lost",
            "store-regained",
            "stray-run",
            "worker-began",
            "worker-changed",
            "worker-closed",
            "worker-fenced",
            "worker-left",
            "worker-open",
            "worker-silent");

    private final String id;
    private final List<LogRecord> ofRequest = new ArrayList<>();
    private final List<LogRecord> causes = new ArrayList<>();
    private long lines;
    private long unreadable;

    private LogStory(String id) {
        this.id = id;
    }

    /**
     * Returns a story without lines.
     *
     * @param id the request's id
     * @return the story
     */
    public static LogStory of(String id) {
        return new LogStory(id);
    }

    /**
     * Takes a line.
     *
     * @param process the process that wrote it
     * @param line the line; one that cannot be read is counted
     */
    public void add(String process, String line) {
        lines++;
        LogRecord.read(process, line).ifPresentOrElse(this::add, () -> unreadable++);
    }

    private void add(LogRecord line) {
        if (line.text().contains(id)) {
            ofRequest.add(line);
        } else if (CAUSES.contains(line.event())) {
            causes.add(line);
        }
    }

    /**
     * Tells the story.
     *
     * @param aroundMillis how long before and after the request's lines other events count
     * @return the lines in order of time, those of the request marked with a star; none if no line names the request
     */
    public List<String> tell(long aroundMillis) {
        if (ofRequest.isEmpty()) {
            return List.of();
        }
        long from = ofRequest.stream().mapToLong(LogRecord::atMillis).min().orElseThrow() - aroundMillis;
        long to = ofRequest.stream().mapToLong(LogRecord::atMillis).max().orElseThrow() + aroundMillis;
        Set<String> involved = involved();
        List<LogRecord> told = new ArrayList<>(ofRequest);
        causes.stream()
                .filter(line -> line.atMillis() >= from && line.atMillis() <= to)
                .filter(line -> involved.stream().anyMatch(name -> concerns(line, name)))
                .forEach(told::add);
        told.sort(Comparator.comparingLong(LogRecord::atMillis));
        return told.stream()
                .map(line -> (ofRequest.contains(line) ? "* " : "  ") + line.process() + " " + line.text())
                .toList();
    }

    /** The processes that wrote of the request, and the workers that its tasks were ordered on. */
    private Set<String> involved() {
        Set<String> result = new HashSet<>();
        ofRequest.forEach(line -> {
            result.add(line.process());
            result.add(line.value("worker"));
            result.add(line.value("entry"));
        });
        result.remove("");
        return result;
    }

    private static boolean concerns(LogRecord line, String name) {
        return line.process().equals(name)
                || line.value("agent").equals(name)
                || line.value("entry").equals(name)
                || line.value("incarnation").equals(name)
                || line.value("name").equals(name);
    }

    /**
     * Counts the lines taken.
     *
     * @return the number
     */
    public long lines() {
        return lines;
    }

    /**
     * Counts the lines that could not be read.
     *
     * @return the number
     */
    public long unreadable() {
        return unreadable;
    }
}
