package org.teaselhook.core.claim;

import java.time.Duration;
import java.util.Objects;

import org.teaselhook.core.id.Incarnation;

/**
 * The result of claiming a key.
 */
public sealed interface ClaimResult
        permits ClaimResult.Won,
                ClaimResult.Mine,
                ClaimResult.HeldBy,
                ClaimResult.OtherBody,
                ClaimResult.Unavailable,
                ClaimResult.InvalidKey {

    // -- factories

    /**
     * Returns the result of a successful claim.
     *
     * @return the result
     */
    static ClaimResult won() {
        return Won.INSTANCE;
    }

    /**
     * Returns the result for a key that this incarnation holds already.
     *
     * @return the result
     */
    static ClaimResult mine() {
        return Mine.INSTANCE;
    }

    /**
     * Returns the result for a key used with another body.
     *
     * @return the result
     */
    static ClaimResult otherBody() {
        return OtherBody.INSTANCE;
    }

    // -- cases

    /**
     * This incarnation claimed the key just now, or took up a claim of its own that it had abandoned. The caller may
     * start the submission, and nobody else may.
     */
    record Won() implements ClaimResult {
        private static final Won INSTANCE = new Won();
    }

    /** This incarnation holds the key already: join the running submission or return its kept answer. */
    record Mine() implements ClaimResult {
        private static final Mine INSTANCE = new Mine();
    }

    /**
     * Another incarnation holds the key. If it is gone, the submission may have run.
     *
     * @param holder the incarnation that claimed the key
     */
    record HeldBy(Incarnation holder) implements ClaimResult {
        /** Checks that nothing is null. */
        public HeldBy {
            Objects.requireNonNull(holder, "holder is null");
        }
    }

    /** The key was used with another body. The present request did not run and will not. */
    record OtherBody() implements ClaimResult {
        private static final OtherBody INSTANCE = new OtherBody();
    }

    /**
     * The key could not be claimed in time. The present request did not run and will not, unless it is claimed again.
     *
     * @param retryAfter how long to wait before another try
     */
    record Unavailable(Duration retryAfter) implements ClaimResult {
        /** Checks that nothing is null. */
        public Unavailable {
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }

    /**
     * The key has a wrong form. The present request did not run and will not.
     *
     * @param reason what is wrong
     */
    record InvalidKey(String reason) implements ClaimResult {
        /** Checks that nothing is null. */
        public InvalidKey {
            Objects.requireNonNull(reason, "reason is null");
        }
    }
}
