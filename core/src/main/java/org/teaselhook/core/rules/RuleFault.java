package org.teaselhook.core.rules;

import java.util.Objects;

/**
 * One fault of a rules file.
 *
 * @param line the number of the line, from 1
 * @param kind the kind of fault
 * @param found the words found, shortened; empty if there are none
 * @param form the form that is expected; empty if the kind's remedy says it
 */
public record RuleFault(int line, RuleFaultKind kind, String found, String form) {

    private static final int SHOWN_CHARS = 80;

    /** Shortens the words found and removes control characters from them. */
    public RuleFault {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(form, "form is null");
        found = shown(found);
    }

    /**
     * Returns what is wrong.
     *
     * @return such as {@code the value is not valid: timeout=soon}
     */
    public String reason() {
        return found.isEmpty() ? kind.reason() : kind.reason() + ": " + found;
    }

    /**
     * Returns what to do about it.
     *
     * @return such as {@code write a value in the form given: timeout=4s}
     */
    public String remedy() {
        return form.isEmpty() ? kind.remedy() : kind.remedy() + ": " + form;
    }

    /**
     * Returns the fault as one line for an operator.
     *
     * @return the line's number, the reason and the remedy
     */
    public String message() {
        return "line " + line + ": " + reason() + "; " + remedy();
    }

    private static String shown(String text) {
        String cut = text.length() > SHOWN_CHARS ? text.substring(0, SHOWN_CHARS) + "..." : text;
        StringBuilder result = new StringBuilder();
        cut.chars().forEach(c -> result.append(RuleLine.isPlain((char) c) ? (char) c : '?'));
        return result.toString();
    }
}
