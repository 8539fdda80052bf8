package org.teaselhook.bench.history;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.teaselhook.bench.history.HistoryEvent.Answered;

/**
 * Checks of answers. A target answers a task with the task's body, a line feed and the attempt, which shows to which
 * request an answer belongs.
 */
final class AnswerChecks {

    private AnswerChecks() {}

    static Stream<Violation> withoutOutcome(History history) {
        return history.calls().stream()
                .filter(call -> call.ended(AnswerKind.UNLABELLED))
                .map(call -> violation(ViolationKind.NO_OUTCOME, call));
    }

    static Stream<Violation> wrongAnswers(History history) {
        return complete(history.calls()).flatMap(call -> contentViolation(call).stream());
    }

    static Stream<Violation> differentAnswers(History history) {
        return history.callsByKey().values().stream()
                .filter(calls -> calls.get(0).sent().startsAtMostOnce())
                .flatMap(calls -> differentAnswers(complete(calls).toList()));
    }

    static Stream<Violation> completeButNotStarted(History history) {
        return complete(history.calls())
                .filter(call -> call.sent().bodies().stream()
                        .anyMatch(body -> history.starts(body).isEmpty()))
                .map(call -> violation(ViolationKind.COMPLETE_BUT_NOT_STARTED, call));
    }

    private static Stream<Call> complete(List<Call> calls) {
        return calls.stream().filter(call -> call.ended(AnswerKind.COMPLETE));
    }

    private static Optional<Violation> contentViolation(Call call) {
        List<String> requested = call.sent().bodies();
        List<String> answers = call.answer().map(Answered::bodies).orElseThrow();
        if (requested.size() != answers.size()) {
            return Optional.of(violation(ViolationKind.PARTIAL_ANSWER, call));
        }
        boolean matches = IntStream.range(0, requested.size())
                .allMatch(i -> answers.get(i).startsWith(requested.get(i) + '\n'));
        return matches ? Optional.empty() : Optional.of(violation(ViolationKind.FOREIGN_ANSWER, call));
    }

    private static Stream<Violation> differentAnswers(List<Call> calls) {
        return calls.stream()
                .skip(1)
                .map(call -> call.answer().orElseThrow())
                .filter(answer -> !answer.bodies().equals(first(calls).bodies()))
                .map(answer -> Violation.of(ViolationKind.DIFFERENT_ANSWERS, first(calls), answer));
    }

    private static Answered first(List<Call> calls) {
        return calls.get(0).answer().orElseThrow();
    }

    private static Violation violation(ViolationKind kind, Call call) {
        return Violation.of(kind, call.sent(), call.answer().orElseThrow());
    }
}
