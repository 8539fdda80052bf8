package org.teaselhook.app.explain;

import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One readable line of a log.
 *
 * @param process the process that wrote it
 * @param atMillis when it was written, by that process's time of day
 * @param event the event's name
 * @param text the whole line
 */
record LogRecord(String process, long atMillis, String event, String text) {

    /** What stands before the time, such as a collector's own stamp, is passed over. */
    private static final Pattern FORM =
            Pattern.compile("(\\d{4}-\\d\\d-\\d\\dT[0-9:.]+) level=\\w+ .*?event=([\\w-]+)");

    /** Reads a line, or returns empty if it has another form. */
    static Optional<LogRecord> read(String process, String line) {
        Matcher matcher = FORM.matcher(line);
        if (!matcher.find()) {
            return Optional.empty();
        }
        try {
            long at = LocalDateTime.parse(matcher.group(1))
                    .toInstant(ZoneOffset.UTC)
                    .toEpochMilli();
            return Optional.of(new LogRecord(process, at, matcher.group(2), line.substring(matcher.start())));
        } catch (DateTimeParseException e) {
            return Optional.empty();
        }
    }

    /** Returns the value of a key, unquoted; empty if the line has none. */
    String value(String key) {
        Matcher matcher = Pattern.compile("(?:^| )" + Pattern.quote(key) + "=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S*)")
                .matcher(text);
        return matcher.find() ? matcher.group(1).replace("\"", "") : "";
    }
}
