package org.teaselhook.net.log;

import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.Locale;

/**
 * Formats the timestamps of log lines as {@code 2026-12-04T09:30:00.123}. The text of the last second is cached, since
 * formatting it costs more than the rest of a line. Thread-safe.
 */
final class TimestampFormatter {

    private static final int NANOS_PER_MILLI = 1_000_000;

    private final DateTimeFormatter secondFormatter;
    private volatile Second lastSecond = new Second(Long.MIN_VALUE, "");

    private record Second(long epochSecond, String text) {}

    private TimestampFormatter(ZoneId zone) {
        secondFormatter = DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.", Locale.ROOT)
                .withZone(zone);
    }

    /** Returns a formatter for a time zone. */
    static TimestampFormatter in(ZoneId zone) {
        return new TimestampFormatter(zone);
    }

    /** Appends a time with a resolution of 1 ms. */
    void append(StringBuilder line, Instant time) {
        Second second = lastSecond;
        if (second.epochSecond() != time.getEpochSecond()) {
            second = new Second(time.getEpochSecond(), secondFormatter.format(time));
            lastSecond = second;
        }
        int millis = time.getNano() / NANOS_PER_MILLI;
        line.append(second.text());
        if (millis < 100) {
            line.append(millis < 10 ? "00" : "0");
        }
        line.append(millis);
    }
}
