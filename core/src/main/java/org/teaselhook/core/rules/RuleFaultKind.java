package org.teaselhook.core.rules;

/**
 * The kinds of faults in a rules file, each with its usual remedy.
 */
public enum RuleFaultKind {
    /** The file is too large. */
    TOO_LARGE("the file is too large", "remove rules that are no longer needed"),
    /** The line holds a character that has no place in text. */
    BAD_CHARACTER("the line holds a control character", "write the line anew in a plain text editor"),
    /** The line has no comment that names who asked. */
    NO_AUTHOR("nobody is named who asked for the rule", "end the line with `# <who asked>: <why>`"),
    /** The first word is no rule. */
    UNKNOWN_RULE("the first word is not a rule", "begin the line with `kind`, `customer`, `zone` or `limit`"),
    /** Words are missing or too many. */
    WRONG_WORDS("the rule has too few or too many words", "write the rule in the form given"),
    /** A name has another form. */
    BAD_NAME("the name is not valid", RuleName.REMEDY),
    /** The key of a pair is not known. */
    UNKNOWN_KEY("the key is not known", "remove it, or write a key that the rule has"),
    /** The key of a pair stands twice. */
    REPEATED_KEY("the key stands twice", "keep one of them"),
    /** A required pair is missing. */
    MISSING_KEY("a key is missing", "add it"),
    /** The value has another form or is out of range. */
    BAD_VALUE("the value is not valid", "write a value in the form given"),
    /** Another line has the same subject. */
    REPEATED_RULE("an earlier line has the same subject", "keep one of the two lines");

    private final String reason;
    private final String remedy;

    RuleFaultKind(String reason, String remedy) {
        this.reason = reason;
        this.remedy = remedy;
    }

    /**
     * Returns what is wrong.
     *
     * @return the reason
     */
    public String reason() {
        return reason;
    }

    /**
     * Returns what to do about it.
     *
     * @return the remedy
     */
    public String remedy() {
        return remedy;
    }
}
