package org.teaselhook.bench.history;

import java.util.List;
import java.util.function.BiPredicate;
import java.util.stream.Stream;

import org.teaselhook.bench.history.HistoryEvent.Started;

/** Checks of calls that were answered "not run". */
final class NotRunChecks {

    private NotRunChecks() {}

    /** Finds starts after the call was sent that no other call of the same key can have caused. */
    static Stream<Violation> notRunButStarted(History history) {
        return history.callsByKey().values().stream()
                .flatMap(calls -> contradictions(
                        history,
                        calls,
                        ViolationKind.NOT_RUN_BUT_STARTED,
                        (call, start) -> start.atNanos() >= call.sent().atNanos()
                                && calls.stream()
                                        .noneMatch(other -> other != call && other.couldStartAt(start.atNanos()))));
    }

    /**
     * Finds starts before the call was sent: the work of the key had been done at least in part. Single idempotent
     * requests are excluded: they are not claimed, so each call is a submission of its own.
     */
    static Stream<Violation> notRunAfterStart(History history) {
        return history.callsByKey().values().stream()
                .filter(calls -> calls.get(0).sent().startsAtMostOnce())
                .flatMap(calls -> contradictions(
                        history,
                        calls,
                        ViolationKind.NOT_RUN_AFTER_START,
                        (call, start) -> start.atNanos() < call.sent().atNanos()));
    }

    private static Stream<Violation> contradictions(
            History history, List<Call> calls, ViolationKind kind, BiPredicate<Call, Started> contradicts) {
        return calls.stream()
                .filter(call -> call.ended(AnswerKind.NOT_RUN))
                .flatMap(call -> call.sent().bodies().stream()
                        .flatMap(body -> history.starts(body).stream())
                        .filter(start -> contradicts.test(call, start))
                        .limit(1)
                        .map(start -> Violation.of(
                                kind, call.sent(), start, call.answer().orElseThrow())));
    }
}
