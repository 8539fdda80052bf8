package org.teaselhook.core.claim;

import java.time.Duration;
import java.util.Objects;

import org.teaselhook.core.id.Incarnation;

/**
 * The result of claiming a key.
 */
public sealed interface ClaimResult
        permits ClaimResult.Acquired,
                ClaimResult.AlreadyHeld,
                ClaimResult.HeldByOther,
                ClaimResult.BodyMismatch,
                ClaimResult.Unavailable,
                ClaimResult.InvalidKey {

    // -- factories

    /**
     * Returns the result of a successful claim.
     *
     * @return the result
     */
    static ClaimResult acquired() {
        return Acquired.INSTANCE;
    }

    /**
     * Returns the result for a key that this incarnation already holds.
     *
     * @return the result
     */
    static ClaimResult alreadyHeld() {
        return AlreadyHeld.INSTANCE;
    }

    /**
     * Returns the result for a key that was used with another request body.
     *
     * @return the result
     */
    static ClaimResult bodyMismatch() {
        return BodyMismatch.INSTANCE;
    }

    // -- results

    /**
     * The key was claimed by this call, or this incarnation reacquired a claim that it had abandoned. The caller may
     * start the submission, and no other caller may.
     */
    record Acquired() implements ClaimResult {
        private static final Acquired INSTANCE = new Acquired();
    }

    /** This incarnation already holds the key: wait for the running submission or return its stored answer. */
    record AlreadyHeld() implements ClaimResult {
        private static final AlreadyHeld INSTANCE = new AlreadyHeld();
    }

    /**
     * Another incarnation holds the key. If that process has ended, the submission may have run.
     *
     * @param holder the incarnation that claimed the key
     */
    record HeldByOther(Incarnation holder) implements ClaimResult {
        /** Checks that no component is null. */
        public HeldByOther {
            Objects.requireNonNull(holder, "holder is null");
        }
    }

    /** The key was used with another request body. This request did not run and will not. */
    record BodyMismatch() implements ClaimResult {
        private static final BodyMismatch INSTANCE = new BodyMismatch();
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
