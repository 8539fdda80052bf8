package org.teaselhook.bench.history;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.teaselhook.bench.history.HistoryEvent.Answered;
import org.teaselhook.bench.history.HistoryEvent.InvariantViolated;
import org.teaselhook.bench.history.HistoryEvent.StopBegan;
import org.teaselhook.bench.history.HistoryEvent.StopEnded;
import org.teaselhook.bench.history.HistoryEvent.TaskCut;

/** What holds of processes that stop, and of what processes say about themselves. */
final class StopChecks {

    private static final long CANCEL_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private StopChecks() {}

    /** A call sent before the stop whose connection ended without an answer. */
    static Stream<Violation> callsCut(History history) {
        return history.all(StopEnded.class)
                .flatMap(end -> began(history, end).stream().flatMap(begin -> history.calls().stream()
                        .filter(call -> call.sent().entry().equals(end.process()))
                        .filter(call -> call.sent().atNanos() < begin.atNanos())
                        .filter(call -> call.ended(AnswerKind.CLOSED))
                        .filter(call -> isAfter(begin, call.answer().orElseThrow()))
                        .map(call -> Violation.of(
                                ViolationKind.CUT_BY_STOP,
                                call.sent(),
                                begin,
                                call.answer().orElseThrow(),
                                end))));
    }

    /** A task that was cut at a target when its agent stopped, while a caller waited for it and had time left. */
    static Stream<Violation> tasksCut(History history) {
        return history.all(StopEnded.class)
                .flatMap(end -> began(history, end).stream().flatMap(begin -> history.all(TaskCut.class)
                        .filter(cut -> cut.process().equals(end.process()))
                        .filter(cut -> cut.atNanos() >= begin.atNanos() && cut.atNanos() <= end.atNanos())
                        .filter(cut -> isAwaited(history, cut))
                        .map(cut -> Violation.of(ViolationKind.CUT_BY_STOP, begin, cut, end))));
    }

    static Stream<Violation> invariants(History history) {
        return history.all(InvariantViolated.class).map(event -> Violation.of(ViolationKind.INVARIANT, event));
    }

    private static boolean isAwaited(History history, TaskCut cut) {
        return history.calls().stream()
                .filter(call -> call.sent().bodies().contains(cut.body()))
                .filter(call -> call.sent().atNanos() <= cut.atNanos())
                .filter(call -> cut.atNanos() < call.deadlineNanos() - CANCEL_MARGIN_NANOS)
                .anyMatch(call ->
                        call.answer().filter(a -> a.atNanos() < cut.atNanos()).isEmpty());
    }

    private static boolean isAfter(StopBegan begin, Answered answer) {
        return answer.atNanos() >= begin.atNanos();
    }

    private static Optional<StopBegan> began(History history, StopEnded end) {
        return history.all(StopBegan.class)
                .filter(begin -> begin.process().equals(end.process()) && begin.atNanos() <= end.atNanos())
                .reduce((first, second) -> second);
    }
}
