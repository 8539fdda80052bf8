package org.teaselhook.net.log;

import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.Locale;

/**
 * Writes times of log lines as {@code 2026-12-04T09:30:00.123}. The text of a second is made once, since formatting it
 * costs more than all else of a line. Thread-safe.
 */
final class LogTime {

    private static final int NANOS_PER_MILLI = 1_000_000;

    private final DateTimeFormatter seconds;
    private volatile Second last = new Second(Long.MIN_VALUE, "");

    private record Second(long epochSecond, String text) {}

    private LogTime(ZoneId zone) {
        seconds = DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.", Locale.ROOT)
                .withZone(zone);
    }

    /** Returns a writer of times in a time zone. */
    static LogTime in(ZoneId zone) {
        return new LogTime(zone);
    }

    /** Appends a time, to the millisecond. */
    void append(StringBuilder line, Instant time) {
        Second second = last;
        if (second.epochSecond() != time.getEpochSecond()) {
            second = new Second(time.getEpochSecond(), seconds.format(time));
            last = second;
        }
        int millis = time.getNano() / NANOS_PER_MILLI;
        line.append(second.text());
        if (millis < 100) {
            line.append(millis < 10 ? "00" : "0");
        }
        line.append(millis);
    }
}
