package org.teaselhook.net.log;

import java.util.Objects;

import org.tinylog.Logger;

/**
 * A log event, written as one line of key=value pairs. Not thread-safe.
 *
 * <pre>{@code
 * LogLine.of("dispatch").with("agent", name).with("slots", 3).info();
 * }</pre>
 */
public final class LogLine {

    /** The initial buffer size: fits a typical line, so that the buffer is seldom copied. */
    private static final int TYPICAL_LENGTH = 192;

    private final StringBuilder text = new StringBuilder(TYPICAL_LENGTH);

    private LogLine(String event) {
        text.append("event=").append(event);
    }

    // -- factories

    /**
     * Starts a line.
     *
     * @param event the event's name, in kebab case
     * @return the line
     */
    public static LogLine of(String event) {
        return new LogLine(Objects.requireNonNull(event, "event is null"));
    }

    // -- building

    /**
     * Adds a pair. Values with spaces, quotes, equals signs or control characters are quoted and escaped.
     *
     * @param key the key
     * @param value the value
     * @return this line
     */
    public LogLine with(String key, Object value) {
        text.append(' ').append(key).append('=');
        append(String.valueOf(value));
        return this;
    }

    /**
     * Adds pairs.
     *
     * @param pairs the keys, each followed by its value
     * @return this line
     */
    public LogLine withAll(Object... pairs) {
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            with(String.valueOf(pairs[i]), pairs[i + 1]);
        }
        return this;
    }

    /** Writes the line at level info. */
    public void info() {
        Logger.info((Object) toString());
    }

    /** Writes the line at level warn. */
    public void warn() {
        Logger.warn((Object) toString());
    }

    /** Writes the line at level debug. */
    public void debug() {
        Logger.debug((Object) toString());
    }

    @Override
    public String toString() {
        return text.toString();
    }

    private void append(String value) {
        if (isPlain(value)) {
            text.append(value);
            return;
        }
        text.append('"');
        for (int i = 0; i < value.length(); i++) {
            appendEscaped(value.charAt(i));
        }
        text.append('"');
    }

    private static boolean isPlain(String value) {
        for (int i = 0; i < value.length(); i++) {
            if (!isPlain(value.charAt(i))) {
                return false;
            }
        }
        return !value.isEmpty();
    }

    private static boolean isPlain(char c) {
        return c > ' ' && c != '"' && c != '=' && c != '\\' && c != 0x7f;
    }

    private void appendEscaped(char c) {
        if (c == '"' || c == '\\') {
            text.append('\\').append(c);
        } else if (c < ' ' || c == 0x7f) {
            text.append(String.format("\\u%04x", (int) c));
        } else {
            text.append(c);
        }
    }
}
