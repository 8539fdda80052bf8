package org.teaselhook.core.rules;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The {@code key=value} words of a line while the line is parsed. Each key that the parser requests counts as known;
 * keys that were never requested are faults.
 */
final class KeyValuePairs {

    private static final int MAX_DIGITS = 12;

    private final RuleLine line;
    private final List<RuleFault> faults;
    private final Map<String, String> values = new HashMap<>();
    private final List<String> requestedKeys = new ArrayList<>();

    private KeyValuePairs(RuleLine line, List<RuleFault> faults) {
        this.line = line;
        this.faults = faults;
    }

    static KeyValuePairs of(RuleLine line, int fromWord, List<RuleFault> faults) {
        KeyValuePairs pairs = new KeyValuePairs(line, faults);
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

    Duration duration(String key, Duration max) {
        String form = key + "=300ms or " + key + "=4s, at most " + max.toSeconds() + "s";
        Optional<String> value = required(key, form);
        Optional<Duration> duration =
                value.flatMap(KeyValuePairs::duration).filter(d -> !d.isZero() && d.compareTo(max) <= 0);
        if (value.isPresent() && duration.isEmpty()) {
            faults.add(line.fault(RuleFaultKind.BAD_VALUE, key + "=" + value.get(), form));
        }
        return duration.orElse(Duration.ZERO);
    }

    long number(String key, long min, long max) {
        String form = key + "=<whole number from " + min + " to " + max + ">";
        Optional<String> value = required(key, form);
        long number = value.map(KeyValuePairs::number).orElse(-1L);
        if (value.isPresent() && (number < min || number > max)) {
            faults.add(line.fault(RuleFaultKind.BAD_VALUE, key + "=" + value.get(), form));
        }
        return number;
    }

    void rejectUnknownKeys() {
        values.keySet().stream()
                .filter(key -> !requestedKeys.contains(key))
                .sorted()
                .forEach(key -> {
                    faults.add(line.fault(RuleFaultKind.UNKNOWN_KEY, key, String.join(", ", requestedKeys)));
                });
    }

    private Optional<String> required(String key, String form) {
        requestedKeys.add(key);
        Optional<String> value = Optional.ofNullable(values.get(key));
        if (value.isEmpty()) {
            faults.add(line.fault(RuleFaultKind.MISSING_KEY, key, form));
        }
        return value;
    }

    // -- parsing of values

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
