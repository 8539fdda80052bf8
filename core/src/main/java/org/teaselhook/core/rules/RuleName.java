package org.teaselhook.core.rules;

/**
 * Validation of the names of services, kinds, customers, availability zones and processes.
 */
public final class RuleName {

    /** The maximum length of a name in characters. */
    public static final int MAX_CHARS = 64;

    /** The remedy for a name that is not valid. */
    public static final String REMEDY =
            "write 1 to " + MAX_CHARS + " of a-z, A-Z, 0-9, `-`, `_` and `.`, beginning with a letter or digit";

    private RuleName() {}

    /**
     * Tells whether a text is a valid name.
     *
     * @param text the text
     * @return true if it is valid
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
