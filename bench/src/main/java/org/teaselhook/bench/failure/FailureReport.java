package org.teaselhook.bench.failure;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;

import org.teaselhook.bench.history.AnswerKind;
import org.teaselhook.bench.history.Call;
import org.teaselhook.bench.history.History;
import org.teaselhook.bench.history.HistoryEvent.Submitted;
import org.teaselhook.bench.history.Violation;

/**
 * The results of a run.
 *
 * @param seed the run's seed
 * @param history the run's events
 * @param violations the violations found in the history
 * @param downtimes the downtimes of processes
 * @param processes the number of processes
 */
record FailureReport(long seed, History history, List<Violation> violations, Downtimes downtimes, int processes) {

    private static final String TICKET_PREFIX = "t1-";

    /** Returns all figures on one line; failure shares cover submissions during which less than a third was down. */
    String summary() {
        Map<String, List<Call>> byKey = history.callsByKey();
        List<List<Call>> calm = byKey.values().stream().filter(this::isCalm).toList();
        return String.format(
                Locale.ROOT,
                "seed=%d submissions=%d calls=%d starts=%d complete=%d not_run=%d may_have_run=%d no_answer=%d"
                        + " unlabelled=%d calm_submissions=%d calm_failed=%.4f calm_failed_idempotent=%.4f"
                        + " calm_failed_ticket=%.4f calm_failed_key=%.4f violations=%d",
                seed,
                byKey.size(),
                history.calls().size(),
                history.startCount(),
                count(AnswerKind.COMPLETE),
                count(AnswerKind.NOT_RUN),
                count(AnswerKind.MAY_HAVE_RUN),
                count(AnswerKind.CLOSED) + count(AnswerKind.TIMED_OUT) + count(AnswerKind.NOT_SENT),
                count(AnswerKind.UNLABELLED),
                calm.size(),
                failedShare(calm, sent -> true),
                failedShare(calm, sent -> !sent.startsAtMostOnce()),
                failedShare(calm, sent -> sent.startsAtMostOnce() && isTicket(sent)),
                failedShare(calm, sent -> sent.startsAtMostOnce() && !isTicket(sent)),
                violations.size());
    }

    private long count(AnswerKind kind) {
        return history.calls().stream().filter(call -> call.ended(kind)).count();
    }

    /** Tells whether less than a third of the processes were down between the first call and the last answer. */
    private boolean isCalm(List<Call> calls) {
        long fromNanos = calls.get(0).sent().atNanos();
        long toNanos = calls.stream()
                .mapToLong(call -> call.answer().map(a -> a.atNanos()).orElse(Long.MAX_VALUE))
                .max()
                .orElse(Long.MAX_VALUE);
        return 3 * downtimes.downBetween(fromNanos, toNanos) < processes;
    }

    /** Returns the share of the selected submissions of which no call was complete. */
    private static double failedShare(List<List<Call>> submissions, Predicate<Submitted> selected) {
        List<List<Call>> matching = submissions.stream()
                .filter(calls -> selected.test(calls.get(0).sent()))
                .toList();
        long failed = matching.stream()
                .filter(calls -> calls.stream().noneMatch(call -> call.ended(AnswerKind.COMPLETE)))
                .count();
        return matching.isEmpty() ? 0 : (double) failed / matching.size();
    }

    private static boolean isTicket(Submitted sent) {
        return sent.key().startsWith(TICKET_PREFIX);
    }
}
