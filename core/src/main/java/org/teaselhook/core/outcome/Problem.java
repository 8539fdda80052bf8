package org.teaselhook.core.outcome;

import java.time.Duration;
import java.util.Objects;

/**
 * The reason for a refusal or failure, as reported to the caller.
 *
 * @param kind the kind, which defines the remedy
 * @param detail the details of this case
 * @param retryAfter the delay before a retry; zero if waiting does not help
 */
public record Problem(ProblemKind kind, String detail, Duration retryAfter) {

    /** Checks that nothing is null. */
    public Problem {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(detail, "detail is null");
        Objects.requireNonNull(retryAfter, "retryAfter is null");
    }

    /**
     * Returns a problem with the default retry delay of its kind.
     *
     * @param kind the kind
     * @param detail the details of this case
     * @return the problem
     */
    public static Problem of(ProblemKind kind, String detail) {
        return new Problem(kind, detail, kind.retryAfter());
    }

    /**
     * Returns a problem with a specific retry delay.
     *
     * @param kind the kind
     * @param detail the details of this case
     * @param retryAfter the delay before a retry
     * @return the problem
     */
    public static Problem of(ProblemKind kind, String detail, Duration retryAfter) {
        return new Problem(kind, detail, retryAfter);
    }
}
