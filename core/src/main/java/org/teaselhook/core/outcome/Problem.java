package org.teaselhook.core.outcome;

import java.time.Duration;
import java.util.Objects;

/**
 * A reason for a refusal or failure, as told to the caller.
 *
 * @param kind the kind, which names the remedy
 * @param detail what was seen in this case
 * @param retryAfter how long to wait before another try; zero where waiting does not help
 */
public record Problem(ProblemKind kind, String detail, Duration retryAfter) {

    /** Checks that nothing is null. */
    public Problem {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(detail, "detail is null");
        Objects.requireNonNull(retryAfter, "retryAfter is null");
    }

    /**
     * Returns a problem with the kind's usual wait.
     *
     * @param kind the kind
     * @param detail what was seen in this case
     * @return the problem
     */
    public static Problem of(ProblemKind kind, String detail) {
        return new Problem(kind, detail, kind.retryAfter());
    }

    /**
     * Returns a problem with its own wait.
     *
     * @param kind the kind
     * @param detail what was seen in this case
     * @param retryAfter how long to wait before another try
     * @return the problem
     */
    public static Problem of(ProblemKind kind, String detail, Duration retryAfter) {
        return new Problem(kind, detail, retryAfter);
    }
}
