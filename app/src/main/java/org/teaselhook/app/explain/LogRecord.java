package org.teaselhook.app.explain;

import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A parsed log line.
 *
 * @param process the process that wrote it
 * @param timestampMillis when it was written, by the wall clock of that process, in milliseconds since the epoch
 * @param event the event's name
 * @param text the whole line
 */
record LogRecord(String process, long timestampMillis, String event, String text) {

    /** Text before the time, such as the timestamp of a log collector, is skipped. */
    private static final Pattern LINE_PATTERN =
            Pattern.compile("(\\d{4}-\\d\\d-\\d\\dT[0-9:.]+) level=\\w+ .*?event=([\\w-]+)");

    /** Parses a line; empty if it does not match the format. */
    static Optional<LogRecord> parse(String process, String line) {
        Matcher matcher = LINE_PATTERN.matcher(line);
        if (!matcher.find()) {
            return Optional.empty();
        }
        try {
            long timestampMillis = LocalDateTime.parse(matcher.group(1))
                    .toInstant(ZoneOffset.UTC)
                    .toEpochMilli();
            return Optional.of(
                    new LogRecord(process, timestampMillis, matcher.group(2), line.substring(matcher.start())));
        } catch (DateTimeParseException e) {
            return Optional.empty();
        }
    }

    /** Returns the value of a key without quotes; empty if the line does not contain the key. */
    String value(String key) {
        Matcher matcher = Pattern.compile("(?:^| )" + Pattern.quote(key) + "=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S*)")
                .matcher(text);
        return matcher.find() ? matcher.group(1).replace("\"", "") : "";
    }
}
