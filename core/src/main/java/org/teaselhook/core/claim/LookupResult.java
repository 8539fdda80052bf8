package org.teaselhook.core.claim;

import java.util.Objects;

import org.teaselhook.core.id.Incarnation;

/**
 * The result of asking who holds a key, without claiming it.
 */
public sealed interface LookupResult permits LookupResult.Held, LookupResult.NotHeld {

    /**
     * An incarnation holds the key.
     *
     * @param holder the incarnation, possibly gone
     * @param bodyDigest the digest of the request's body
     */
    record Held(Incarnation holder, long bodyDigest) implements LookupResult {
        /** Checks that nothing is null. */
        public Held {
            Objects.requireNonNull(holder, "holder is null");
        }
    }

    /**
     * As far as this ledger knows nobody holds the key, or this incarnation abandoned it.
     *
     * @param certain true if the log was read up to its end within the call; false if only memory was asked
     */
    record NotHeld(boolean certain) implements LookupResult {}
}
