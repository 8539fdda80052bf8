package org.teaselhook.bench.config;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * When one process applied each version, as its log tells.
 */
final class AppliedTimes {

    private static final Pattern LINE =
            Pattern.compile("^(\\S+) .*event=(?:config-applied|configuration) version=(\\d+) .*$");
    private static final Pattern START = Pattern.compile("^\\S+ .*event=(?:entry|agent)-started .*$");

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

    /** Names each line of a log at which the version of a running process fell or was applied again. */
    static List<String> falls(Path log) {
        try {
            return falls(log.getFileName().toString(), Files.readAllLines(log));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static List<String> falls(String name, List<String> lines) {
        List<String> found = new ArrayList<>();
        long held = 0;
        for (String line : lines) {
            Matcher matcher = LINE.matcher(line);
            if (START.matcher(line).matches()) {
                held = 0;
            } else if (matcher.matches()) {
                long version = Long.parseLong(matcher.group(2));
                if (version <= held) {
                    found.add(name + " fell from " + held + ": " + line);
                }
                held = version;
            }
        }
        return found;
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
