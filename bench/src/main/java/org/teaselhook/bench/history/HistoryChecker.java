package org.teaselhook.bench.history;

import java.util.List;

/**
 * Checks a history for violations of the guarantees. Stateless; reads no clock.
 *
 * <pre>{@code
 * List<Violation> violations = HistoryChecker.of(HistoryLimits.standard()).check(recorder.history());
 * }</pre>
 */
public final class HistoryChecker {

    private final List<HistoryCheck> checks;

    private HistoryChecker(List<HistoryCheck> checks) {
        this.checks = checks;
    }

    // -- factories

    /**
     * Returns a checker of all properties.
     *
     * @param limits the times within which changes must take effect
     * @return the checker
     */
    public static HistoryChecker of(HistoryLimits limits) {
        return new HistoryChecker(List.of(
                StartChecks::startedTwice,
                StartChecks::startedWithoutSubmission,
                NotRunChecks::notRunButStarted,
                NotRunChecks::notRunAfterStart,
                AnswerChecks::withoutOutcome,
                AnswerChecks::wrongAnswers,
                AnswerChecks::differentAnswers,
                AnswerChecks::completeButNotStarted,
                new ZoneCheck(limits.zoneOut()),
                new LeavingTargetCheck(limits.targetLeaving()),
                ConfigurationChecks::versionDecreased,
                ConfigurationChecks::changeLost,
                ConfigurationChecks::changeAppliedTwice,
                StopChecks::callsInterrupted,
                StopChecks::tasksInterrupted,
                StopChecks::invariants));
    }

    // -- checking

    /**
     * Finds every violation.
     *
     * @param history the history of a run
     * @return the violations; empty if every property holds
     */
    public List<Violation> check(History history) {
        return checks.stream().flatMap(check -> check.violations(history)).toList();
    }
}
