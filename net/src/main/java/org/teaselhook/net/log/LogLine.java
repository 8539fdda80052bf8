package org.teaselhook.net.log;

import java.util.Objects;

import org.tinylog.Logger;

/**
 * One event, written as one line of key=value pairs.
 *
 * <pre>{@code
 * LogLine.of("dispatch").with("agent", name).with("slots", 3).info();
 * }</pre>
 */
public final class LogLine {

    private final String text;

    private LogLine(String text) {
        this.text = text;
    }

    // -- factories

    /**
     * Starts a line.
     *
     * @param event the event's name, in kebab case
     * @return the line
     */
    public static LogLine of(String event) {
        return new LogLine("event=" + Objects.requireNonNull(event, "event is null"));
    }

    // -- transformations

    /**
     * Adds a pair. Values with spaces, quotes, equals signs or control characters are quoted and escaped.
     *
     * @param key the key
     * @param value the value
     * @return the longer line
     */
    public LogLine with(String key, Object value) {
        return new LogLine(text + ' ' + key + '=' + quoted(String.valueOf(value)));
    }

    /** Writes the line at level info. */
    public void info() {
        Logger.info((Object) text);
    }

    /** Writes the line at level warn. */
    public void warn() {
        Logger.warn((Object) text);
    }

    /** Writes the line at level debug. */
    public void debug() {
        Logger.debug((Object) text);
    }

    @Override
    public String toString() {
        return text;
    }

    private static String quoted(String value) {
        if (!value.isEmpty() && value.chars().allMatch(LogLine::isPlain)) {
            return value;
        }
        StringBuilder result = new StringBuilder("\"");
        value.chars().forEach(c -> appendEscaped(result, (char) c));
        return result.append('"').toString();
    }

    private static boolean isPlain(int c) {
        return c > ' ' && c != '"' && c != '=' && c != '\\' && c != 0x7f;
    }

    private static void appendEscaped(StringBuilder result, char c) {
        if (c == '"' || c == '\\') {
            result.append('\\').append(c);
        } else if (c < ' ' || c == 0x7f) {
            result.append(String.format("\\u%04x", (int) c));
        } else {
            result.append(c);
        }
    }
}
