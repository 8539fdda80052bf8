package org.teaselhook.core.claim;

import java.util.Objects;

import org.teaselhook.core.id.Incarnation;

/**
 * The result of looking up the holder of a key without claiming it.
 */
public sealed interface LookupResult permits LookupResult.Held, LookupResult.NotHeld {

    /**
     * An incarnation holds the key.
     *
     * @param holder the incarnation; its process may have ended
     * @param bodyDigest a digest of the request body
     */
    record Held(Incarnation holder, long bodyDigest) implements LookupResult {
        /** Checks that the holder is not null. */
        public Held {
            Objects.requireNonNull(holder, "holder is null");
        }
    }

    /**
     * No incarnation is known to hold the key, or this incarnation abandoned it.
     *
     * @param certain true if the log was read up to its end after the lookup began and no claim of the key is pending
     *     here, or if this incarnation abandoned its claim; false if the key may be held nevertheless
     */
    record NotHeld(boolean certain) implements LookupResult {}
}
