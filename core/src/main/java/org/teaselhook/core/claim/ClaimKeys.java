package org.teaselhook.core.claim;

import java.util.Objects;
import java.util.Optional;

/**
 * The format of the keys that callers choose: 1 to 128 visible ASCII characters.
 */
public final class ClaimKeys {

    /** The maximum length of a key in characters. */
    public static final int MAX_LENGTH_CHARS = 128;

    private static final char FIRST_VISIBLE = '!';
    private static final char LAST_VISIBLE = '~';

    private ClaimKeys() {}

    /**
     * Checks the format of a key.
     *
     * @param key the caller's key
     * @return the reason why the key is invalid, or empty if it is valid
     */
    public static Optional<String> validate(String key) {
        Objects.requireNonNull(key, "key is null");
        if (key.isEmpty()) {
            return Optional.of("the key is empty");
        }
        if (key.length() > MAX_LENGTH_CHARS) {
            return Optional.of(
                    "the key has " + key.length() + " characters, at most " + MAX_LENGTH_CHARS + " are allowed");
        }
        if (!key.chars().allMatch(c -> c >= FIRST_VISIBLE && c <= LAST_VISIBLE)) {
            return Optional.of("the key has a character that is not visible ASCII");
        }
        return Optional.empty();
    }
}
