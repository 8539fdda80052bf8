package org.teaselhook.node.settings;

/**
 * The kinds of faults in a settings file.
 */
public enum SettingFaultKind {
    /** The file cannot be read. */
    UNREADABLE("cannot be read"),
    /** The text is not YAML. */
    NOT_YAML("is not YAML"),
    /** A required setting is missing. */
    MISSING("is missing"),
    /** The key is not a known setting. */
    UNKNOWN_KEY("is not a setting"),
    /** The value has the wrong type or syntax. */
    MALFORMED("is malformed"),
    /** The number is too small or too large. */
    OUT_OF_RANGE("is out of range");

    private final String text;

    SettingFaultKind(String text) {
        this.text = text;
    }

    /**
     * Returns the description of the fault, as the end of a sentence.
     *
     * @return such as {@code is missing}
     */
    public String text() {
        return text;
    }
}
