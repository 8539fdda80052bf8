package org.teaselhook.core.rules;

/**
 * The kinds of faults in a rules file, each with its description and remedy.
 */
public enum RuleFaultKind {
    /** The file is too large. */
    TOO_LARGE("the file is too large", "remove rules that are no longer needed"),
    /** The line contains a character that is not allowed. */
    BAD_CHARACTER("the line contains a control character", "retype the line in a plain text editor"),
    /** The line has no comment that names the author and the reason. */
    NO_AUTHOR("the comment does not name who asked for the rule and why", "end the line with `# <who asked>: <why>`"),
    /** The first word is not a rule. */
    UNKNOWN_RULE("the first word is not a rule", "begin the line with `kind`, `customer`, `zone` or `limit`"),
    /** The rule has too few, too many or wrong words. */
    WRONG_WORDS("the rule has missing, surplus or wrong words", "use the expected form"),
    /** A name does not have the required form. */
    BAD_NAME("the name is not valid", RuleName.REMEDY),
    /** A key is not known. */
    UNKNOWN_KEY("the key is not known", "remove it, or use a key that the rule supports"),
    /** A key is repeated. */
    REPEATED_KEY("the key is repeated", "keep one of them"),
    /** A required key is missing. */
    MISSING_KEY("a key is missing", "add it"),
    /** A value does not have the required form or is out of range. */
    BAD_VALUE("the value is not valid", "use a value of the expected form"),
    /** Another line has the same subject. */
    REPEATED_RULE("an earlier line has the same subject", "keep one of the two lines");

    private final String reason;
    private final String remedy;

    RuleFaultKind(String reason, String remedy) {
        this.reason = reason;
        this.remedy = remedy;
    }

    /**
     * Returns the description of the fault.
     *
     * @return the description
     */
    public String reason() {
        return reason;
    }

    /**
     * Returns the remedy.
     *
     * @return the remedy
     */
    public String remedy() {
        return remedy;
    }
}
