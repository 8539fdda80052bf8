package org.teaselhook.bench.history;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.teaselhook.bench.history.HistoryEvent.Answered;
import org.teaselhook.bench.history.HistoryEvent.InvariantViolated;
import org.teaselhook.bench.history.HistoryEvent.StopBegan;
import org.teaselhook.bench.history.HistoryEvent.StopEnded;
import org.teaselhook.bench.history.HistoryEvent.TaskCut;

/** Checks of graceful stops and of invariant violations that processes report. */
final class StopChecks {

    private static final long CANCEL_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private StopChecks() {}

    /** Finds calls that were sent before the stop and whose connection was closed without an answer. */
    static Stream<Violation> callsInterrupted(History history) {
        return history.eventsOf(StopEnded.class)
                .flatMap(end -> lastBegin(history, end).stream().flatMap(begin -> history.calls().stream()
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

    /**
     * Finds tasks interrupted by the stop of the target's agent while a caller still waited for them. Those interrupted
     * less than {@link #CANCEL_MARGIN_NANOS} before the caller's deadline, or after it, do not count.
     */
    static Stream<Violation> tasksInterrupted(History history) {
        return history.eventsOf(StopEnded.class)
                .flatMap(end -> lastBegin(history, end).stream().flatMap(begin -> history.eventsOf(TaskCut.class)
                        .filter(cut -> cut.process().equals(end.process()))
                        .filter(cut -> cut.atNanos() >= begin.atNanos() && cut.atNanos() <= end.atNanos())
                        .filter(cut -> isAwaited(history, cut))
                        .map(cut -> Violation.of(ViolationKind.CUT_BY_STOP, begin, cut, end))));
    }

    static Stream<Violation> invariants(History history) {
        return history.eventsOf(InvariantViolated.class).map(event -> Violation.of(ViolationKind.INVARIANT, event));
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

    private static Optional<StopBegan> lastBegin(History history, StopEnded end) {
        return history.eventsOf(StopBegan.class)
                .filter(begin -> begin.process().equals(end.process()) && begin.atNanos() <= end.atNanos())
                .reduce((first, second) -> second);
    }
}
