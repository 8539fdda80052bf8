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
 * Times at which one process applied each configuration version, read from its log.
 */
final class AppliedTimes {

    private static final Pattern APPLIED_LINE =
            Pattern.compile("^(\\S+) .*event=(?:config-applied|configuration) version=(\\d+) .*$");
    private static final Pattern START_LINE = Pattern.compile("^\\S+ .*event=(?:entry|agent)-started .*$");

    private final Map<Long, Long> millisByVersion;

    private AppliedTimes(Map<Long, Long> millisByVersion) {
        this.millisByVersion = millisByVersion;
    }

    /** Reads the log of a process. */
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
            Matcher matcher = APPLIED_LINE.matcher(line);
            if (matcher.matches()) {
                result.putIfAbsent(Long.parseLong(matcher.group(2)), epochMillis(matcher.group(1)));
            }
        }
        return new AppliedTimes(result);
    }

    /** Finds the log lines at which a running process applied an older version or the same version again. */
    static List<String> regressions(Path log) {
        try {
            return regressions(log.getFileName().toString(), Files.readAllLines(log));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static List<String> regressions(String name, List<String> lines) {
        List<String> found = new ArrayList<>();
        long applied = 0;
        for (String line : lines) {
            Matcher matcher = APPLIED_LINE.matcher(line);
            if (START_LINE.matcher(line).matches()) {
                applied = 0;
            } else if (matcher.matches()) {
                long version = Long.parseLong(matcher.group(2));
                if (version <= applied) {
                    found.add(name + " went back from version " + applied + ": " + line);
                }
                applied = version;
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

    /** Returns the epoch milliseconds at which this or a newer version was first applied; empty if none was. */
    OptionalLong atLeast(long version) {
        return millisByVersion.entrySet().stream()
                .filter(entry -> entry.getKey() >= version)
                .mapToLong(Map.Entry::getValue)
                .min();
    }
}
