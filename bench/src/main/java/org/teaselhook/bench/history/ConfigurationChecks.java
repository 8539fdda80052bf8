package org.teaselhook.bench.history;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.teaselhook.bench.history.HistoryEvent.ChangeKept;
import org.teaselhook.bench.history.HistoryEvent.VersionSeen;
import org.teaselhook.bench.history.HistoryEvent.ZoneChanged;

/** What holds of the configuration's versions. */
final class ConfigurationChecks {

    private ConfigurationChecks() {}

    static Stream<Violation> versionFell(History history) {
        Map<String, VersionSeen> highest = new HashMap<>();
        Stream.Builder<Violation> violations = Stream.builder();
        history.all(VersionSeen.class).forEach(seen -> {
            VersionSeen before = highest.getOrDefault(seen.observer(), seen);
            if (seen.version() < before.version()) {
                violations.add(Violation.of(ViolationKind.VERSION_FELL, before, seen));
            }
            highest.put(seen.observer(), seen.version() < before.version() ? before : seen);
        });
        return violations.build();
    }

    /** Holds vacuously where the configuration's history was not read. */
    static Stream<Violation> changeLost(History history) {
        Map<Long, ChangeKept> kept = history.all(ChangeKept.class)
                .collect(Collectors.toMap(ChangeKept::version, change -> change, (first, second) -> second));
        long oldest = kept.keySet().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
        return history.all(ZoneChanged.class)
                .filter(change -> change.changed() && change.version().orElse(-1) >= oldest)
                .filter(change -> !isKept(change, kept.get(change.version().getAsLong())))
                .map(change -> Violation.of(ViolationKind.CHANGE_LOST, change));
    }

    static Stream<Violation> changeAppliedTwice(History history) {
        Map<String, List<ChangeKept>> byOperation =
                history.all(ChangeKept.class).collect(Collectors.groupingBy(ChangeKept::operation));
        return byOperation.values().stream()
                .filter(changes -> changes.size() > 1)
                .map(changes -> new Violation(ViolationKind.CHANGE_APPLIED_TWICE, List.copyOf(changes)));
    }

    private static boolean isKept(ZoneChanged change, ChangeKept kept) {
        return kept != null && kept.operation().equals(change.operation());
    }
}
