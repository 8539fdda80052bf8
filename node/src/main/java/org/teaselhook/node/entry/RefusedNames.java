package org.teaselhook.node.entry;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.claim.KeptAnswers;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.node.caller.SubmissionName;

/**
 * Remembers which names held here were answered "not run", so that a copy of the request that was received before that
 * answer does not start after it. Bounded in bytes and time. Confined to the control thread.
 */
final class RefusedNames {

    private static final long MAX_BYTES = 4 << 20;
    private static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long ENTRY_BYTES = 128;

    private final KeptAnswers<Refusal> refusals = KeptAnswers.of(MAX_BYTES, KEEP_NANOS);

    private record Refusal(Problem problem, long atNanos) {}

    /** Notes that a caller is told now that the submission under a name did not run. */
    void add(SubmissionName name, Problem problem, long nowNanos) {
        refusals.put(
                name.text(),
                new Refusal(problem, nowNanos),
                ENTRY_BYTES + name.text().length(),
                nowNanos);
    }

    /** Finds the refusal that a copy received at some time must share; empty if it was received after all refusals. */
    Optional<Problem> since(SubmissionName name, long receivedNanos, long nowNanos) {
        return refusals.find(name.text(), nowNanos)
                .filter(refusal -> receivedNanos - refusal.atNanos() < 0)
                .map(Refusal::problem);
    }
}
