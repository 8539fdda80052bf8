package org.teaselhook.bench.config;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * When one process applied each version, read from its log.
 */
final class AppliedTimes {

    private static final Pattern LINE =
            Pattern.compile("^(\\S+) .*event=(?:config-applied|configuration) version=(\\d+) .*$");

    private final Map<Long, Long> millisByVersion;

    private AppliedTimes(Map<Long, Long> millisByVersion) {
        this.millisByVersion = millisByVersion;
    }

    /** Reads a process's log. */
    static AppliedTimes read(Path log) {
        try {
            return of(Files.readAllLines(log));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static AppliedTimes of(List<String> lines) {
        Map<Long, Long> result = new HashMap<>();
        for (String line : lines) {
            Matcher matcher = LINE.matcher(line);
            if (matcher.matches()) {
                result.putIfAbsent(Long.parseLong(matcher.group(2)), epochMillis(matcher.group(1)));
            }
        }
        return new AppliedTimes(result);
    }

    private static long epochMillis(String time) {
        return LocalDateTime.parse(time)
                .atZone(ZoneId.systemDefault())
                .toInstant()
                .toEpochMilli();
    }

    /** Returns when the version, or a newer one if it was skipped, was applied; empty if never. */
    OptionalLong atLeast(long version) {
        return millisByVersion.entrySet().stream()
                .filter(applied -> applied.getKey() >= version)
                .mapToLong(Map.Entry::getValue)
                .min();
    }
}
