package org.teaselhook.bench.history;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.teaselhook.bench.history.HistoryEvent.ChangeKept;
import org.teaselhook.bench.history.HistoryEvent.VersionSeen;
import org.teaselhook.bench.history.HistoryEvent.ZoneChanged;

/** Checks of configuration versions and changes. */
final class ConfigurationChecks {

    private ConfigurationChecks() {}

    static Stream<Violation> versionDecreased(History history) {
        Map<String, VersionSeen> highest = new HashMap<>();
        Stream.Builder<Violation> violations = Stream.builder();
        history.eventsOf(VersionSeen.class).forEach(seen -> {
            VersionSeen highestSeen = highest.getOrDefault(seen.observer(), seen);
            if (seen.version() < highestSeen.version()) {
                violations.add(Violation.of(ViolationKind.VERSION_FELL, highestSeen, seen));
            }
            highest.put(seen.observer(), seen.version() < highestSeen.version() ? highestSeen : seen);
        });
        return violations.build();
    }

    /** Finds nothing if the configuration's history was not read. */
    static Stream<Violation> changeLost(History history) {
        Map<Long, ChangeKept> kept = history.eventsOf(ChangeKept.class)
                .collect(Collectors.toMap(ChangeKept::version, change -> change, (first, second) -> second));
        long oldest = kept.keySet().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
        return history.eventsOf(ZoneChanged.class)
                .filter(change -> change.changed() && change.version().orElse(-1) >= oldest)
                .filter(change -> !isRecorded(change, kept.get(change.version().getAsLong())))
                .map(change -> Violation.of(ViolationKind.CHANGE_LOST, change));
    }

    static Stream<Violation> changeAppliedTwice(History history) {
        Map<String, List<ChangeKept>> byOperation =
                history.eventsOf(ChangeKept.class).collect(Collectors.groupingBy(ChangeKept::operation));
        return byOperation.values().stream()
                .filter(changes -> changes.size() > 1)
                .map(changes -> new Violation(ViolationKind.CHANGE_APPLIED_TWICE, List.copyOf(changes)));
    }

    private static boolean isRecorded(ZoneChanged change, ChangeKept kept) {
        return kept != null && kept.operation().equals(change.operation());
    }
}
