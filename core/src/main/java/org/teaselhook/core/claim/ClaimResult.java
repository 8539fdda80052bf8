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
     * Returns the result for a key that this incarnation already holds.
     *
     * @return the result
     */
    static ClaimResult mine() {
        return Mine.INSTANCE;
    }

    /**
     * Returns the result for a key that was used with another request body.
     *
     * @return the result
     */
    static ClaimResult otherBody() {
        return OtherBody.INSTANCE;
    }

    // -- results

    /**
     * The key was claimed by this call, or this incarnation reacquired a claim that it had abandoned. The caller may
     * start the submission, and no other caller may.
     */
    record Won() implements ClaimResult {
        private static final Won INSTANCE = new Won();
    }

    /** This incarnation already holds the key: wait for the running submission or return its stored answer. */
    record Mine() implements ClaimResult {
        private static final Mine INSTANCE = new Mine();
    }

    /**
     * Another incarnation holds the key. If that process has ended, the submission may have run.
     *
     * @param holder the incarnation that claimed the key
     */
    record HeldBy(Incarnation holder) implements ClaimResult {
        /** Checks that no component is null. */
        public HeldBy {
            Objects.requireNonNull(holder, "holder is null");
        }
    }

    /** The key was used with another request body. This request did not run and will not. */
    record OtherBody() implements ClaimResult {
        private static final OtherBody INSTANCE = new OtherBody();
    }

    /**
     * The key could not be claimed in time. This request did not run and will not, unless the key is claimed again.
     *
     * @param retryAfter how long to wait before a retry
     */
    record Unavailable(Duration retryAfter) implements ClaimResult {
        /** Checks that no component is null. */
        public Unavailable {
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }

    /**
     * The key is malformed. This request did not run and will not.
     *
     * @param reason why the key is invalid
     */
    record InvalidKey(String reason) implements ClaimResult {
        /** Checks that no component is null. */
        public InvalidKey {
            Objects.requireNonNull(reason, "reason is null");
        }
    }
}
