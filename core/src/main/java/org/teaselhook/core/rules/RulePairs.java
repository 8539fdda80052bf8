package org.teaselhook.core.rules;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The {@code key=value} words of one line while they are read. Each key that is asked for counts as known; what was
 * not asked for is a fault.
 */
final class RulePairs {

    private static final int MAX_DIGITS = 12;

    private final RuleLine line;
    private final List<RuleFault> faults;
    private final Map<String, String> values = new HashMap<>();
    private final List<String> asked = new ArrayList<>();

    private RulePairs(RuleLine line, List<RuleFault> faults) {
        this.line = line;
        this.faults = faults;
    }

    static RulePairs of(RuleLine line, int fromWord, List<RuleFault> faults) {
        RulePairs pairs = new RulePairs(line, faults);
        for (int i = fromWord; i < line.words().size(); i++) {
            pairs.add(line.word(i));
        }
        return pairs;
    }

    private void add(String word) {
        int equals = word.indexOf('=');
        if (equals <= 0) {
            faults.add(line.fault(RuleFaultKind.WRONG_WORDS, word, "key=value"));
        } else if (values.putIfAbsent(word.substring(0, equals), word.substring(equals + 1)) != null) {
            faults.add(line.fault(RuleFaultKind.REPEATED_KEY, word, ""));
        }
    }

    // -- accessors

    Duration duration(String key, Duration greatest) {
        String form = key + "=300ms or " + key + "=4s, at most " + greatest.toSeconds() + "s";
        Optional<String> value = required(key, form);
        Optional<Duration> duration =
                value.flatMap(RulePairs::duration).filter(d -> !d.isZero() && d.compareTo(greatest) <= 0);
        if (value.isPresent() && duration.isEmpty()) {
            faults.add(line.fault(RuleFaultKind.BAD_VALUE, key + "=" + value.get(), form));
        }
        return duration.orElse(Duration.ZERO);
    }

    long number(String key, long least, long greatest) {
        String form = key + "=<whole number from " + least + " to " + greatest + ">";
        Optional<String> value = required(key, form);
        long number = value.map(RulePairs::number).orElse(-1L);
        if (value.isPresent() && (number < least || number > greatest)) {
            faults.add(line.fault(RuleFaultKind.BAD_VALUE, key + "=" + value.get(), form));
        }
        return number;
    }

    void refuseUnknownKeys() {
        values.keySet().stream().filter(key -> !asked.contains(key)).sorted().forEach(key -> {
            faults.add(line.fault(RuleFaultKind.UNKNOWN_KEY, key, String.join(", ", asked)));
        });
    }

    private Optional<String> required(String key, String form) {
        asked.add(key);
        Optional<String> value = Optional.ofNullable(values.get(key));
        if (value.isEmpty()) {
            faults.add(line.fault(RuleFaultKind.MISSING_KEY, key, form));
        }
        return value;
    }

    // -- conversions

    private static Optional<Duration> duration(String text) {
        boolean millis = text.endsWith("ms");
        if (!millis && !text.endsWith("s")) {
            return Optional.empty();
        }
        long number = number(text.substring(0, text.length() - (millis ? 2 : 1)));
        if (number < 0) {
            return Optional.empty();
        }
        return Optional.of(millis ? Duration.ofMillis(number) : Duration.ofSeconds(number));
    }

    private static long number(String text) {
        boolean digits =
                !text.isEmpty() && text.length() <= MAX_DIGITS && text.chars().allMatch(c -> c >= '0' && c <= '9');
        return digits ? Long.parseLong(text) : -1;
    }
}
