package org.teaselhook.node.entry;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.claim.AnswerCache;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.node.caller.SubmissionName;

/**
 * Remembers which names reserved here were answered "not run", so that a copy of the request that was received before
 * that answer does not start after it. Bounded in bytes and time. Confined to the control thread.
 */
final class RefusedNames {

    private static final long MAX_BYTES = 4 << 20;
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long OVERHEAD_BYTES = 128;

    private final AnswerCache<Refusal> refusals = AnswerCache.of(MAX_BYTES, RETENTION_NANOS);

    private record Refusal(Problem problem, long refusedNanos) {}

    /** Records that the submission under a name is being answered "not run". */
    void add(SubmissionName name, Problem problem, long nowNanos) {
        refusals.put(
                name.text(),
                new Refusal(problem, nowNanos),
                OVERHEAD_BYTES + name.text().length(),
                nowNanos);
    }

    /** Returns the last refusal of a name if a copy was received before it and so must share it, else empty. */
    Optional<Problem> refusalSince(SubmissionName name, long receivedNanos, long nowNanos) {
        return refusals.find(name.text(), nowNanos)
                .filter(refusal -> receivedNanos - refusal.refusedNanos() < 0)
                .map(Refusal::problem);
    }
}
