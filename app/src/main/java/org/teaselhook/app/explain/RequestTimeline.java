package org.teaselhook.app.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Collects the log lines of several processes about one request, and related events of these processes.
 */
public final class RequestTimeline {

    /** Events that change the state of a process and so may explain the outcome of a request. */
    private static final Set<String> RELATED_EVENTS = Set.of(
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
    private final List<LogRecord> requestLines = new ArrayList<>();
    private final List<LogRecord> relatedEvents = new ArrayList<>();
    private long lineCount;
    private long unreadableCount;

    private RequestTimeline(String id) {
        this.id = id;
    }

    /**
     * Returns a timeline without lines.
     *
     * @param id the request's id
     * @return the timeline
     */
    public static RequestTimeline of(String id) {
        return new RequestTimeline(id);
    }

    /**
     * Adds a line.
     *
     * @param process the process that wrote it
     * @param line the line; if it cannot be parsed, it is only counted
     */
    public void add(String process, String line) {
        lineCount++;
        LogRecord.parse(process, line).ifPresentOrElse(this::add, () -> unreadableCount++);
    }

    private void add(LogRecord line) {
        if (line.text().contains(id)) {
            requestLines.add(line);
        } else if (RELATED_EVENTS.contains(line.event())) {
            relatedEvents.add(line);
        }
    }

    /**
     * Returns the lines of the request and the related events around them.
     *
     * @param aroundMillis the time before and after the request's lines in which other events are included
     * @return the lines in order of time, those of the request marked with an asterisk; empty if no line has the id
     */
    public List<String> format(long aroundMillis) {
        if (requestLines.isEmpty()) {
            return List.of();
        }
        long from = requestLines.stream()
                        .mapToLong(LogRecord::timestampMillis)
                        .min()
                        .orElseThrow()
                - aroundMillis;
        long to = requestLines.stream()
                        .mapToLong(LogRecord::timestampMillis)
                        .max()
                        .orElseThrow()
                + aroundMillis;
        Set<String> involved = involved();
        List<LogRecord> selected = new ArrayList<>(requestLines);
        relatedEvents.stream()
                .filter(line -> line.timestampMillis() >= from && line.timestampMillis() <= to)
                .filter(line -> involved.stream().anyMatch(name -> refersTo(line, name)))
                .forEach(selected::add);
        selected.sort(Comparator.comparingLong(LogRecord::timestampMillis));
        return selected.stream()
                .map(line -> (requestLines.contains(line) ? "* " : "  ") + line.process() + " " + line.text())
                .toList();
    }

    /** Returns the processes that logged the request, and the workers and entries that its lines name. */
    private Set<String> involved() {
        Set<String> result = new HashSet<>();
        requestLines.forEach(line -> {
            result.add(line.process());
            result.add(line.value("worker"));
            result.add(line.value("entry"));
        });
        result.remove("");
        return result;
    }

    private static boolean refersTo(LogRecord line, String name) {
        return line.process().equals(name)
                || line.value("agent").equals(name)
                || line.value("entry").equals(name)
                || line.value("incarnation").equals(name)
                || line.value("name").equals(name);
    }

    /**
     * Returns the number of lines added.
     *
     * @return the number, including unreadable lines
     */
    public long lineCount() {
        return lineCount;
    }

    /**
     * Returns the number of lines that could not be parsed.
     *
     * @return the number
     */
    public long unreadableCount() {
        return unreadableCount;
    }
}
