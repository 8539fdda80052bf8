package org.teaselhook.bench.history;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.teaselhook.bench.history.HistoryEvent.Started;
import org.teaselhook.bench.history.HistoryEvent.Submitted;

/** Checks of task starts. */
final class StartChecks {

    private StartChecks() {}

    static Stream<Violation> startedTwice(History history) {
        return history.callsByKey().values().stream()
                .map(calls -> calls.get(0).sent())
                .filter(Submitted::startsAtMostOnce)
                .flatMap(sent -> sent.bodies().stream()
                        .map(history::starts)
                        .filter(starts -> starts.size() > 1)
                        .map(starts -> startedTwice(sent, starts)));
    }

    static Stream<Violation> startedWithoutSubmission(History history) {
        Map<String, Long> firstSent = new HashMap<>();
        history.calls().forEach(call -> call.sent()
                .bodies()
                .forEach(body -> firstSent.putIfAbsent(body, call.sent().atNanos())));
        return history.eventsOf(Started.class)
                .filter(start -> firstSent.getOrDefault(start.body(), Long.MAX_VALUE) > start.atNanos())
                .map(start -> Violation.of(ViolationKind.STARTED_UNASKED, start));
    }

    private static Violation startedTwice(Submitted sent, List<Started> starts) {
        Stream<HistoryEvent> evidence = Stream.concat(Stream.of(sent), starts.stream());
        return new Violation(ViolationKind.STARTED_TWICE, evidence.toList());
    }
}
