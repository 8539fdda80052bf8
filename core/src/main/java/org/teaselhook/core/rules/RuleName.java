package org.teaselhook.core.rules;

/**
 * Names of services, kinds, customers, availability zones and processes.
 */
public final class RuleName {

    /** The greatest length of a name. */
    public static final int MAX_CHARS = 64;

    /** What to write instead of a refused name. */
    public static final String REMEDY =
            "write 1 to " + MAX_CHARS + " of a-z, A-Z, 0-9, `-`, `_` and `.`, beginning with a letter or digit";

    private RuleName() {}

    /**
     * Tells whether a text is a name.
     *
     * @param text any text
     * @return true if it is
     */
    public static boolean isValid(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_CHARS
                && isLetterOrDigit(text.charAt(0))
                && text.chars().allMatch(RuleName::isNameChar);
    }

    private static boolean isNameChar(int c) {
        return isLetterOrDigit(c) || c == '-' || c == '_' || c == '.';
    }

    private static boolean isLetterOrDigit(int c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
    }
}
