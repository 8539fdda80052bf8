package org.teaselhook.core.rules;

import java.util.Objects;

/**
 * A fault in a rules file.
 *
 * @param line the number of the line, from 1
 * @param kind the kind of fault
 * @param found the faulty text, shortened; empty if there is none
 * @param form the expected form; empty if the remedy of the kind describes it
 */
public record RuleFault(int line, RuleFaultKind kind, String found, String form) {

    private static final int MAX_SHOWN_CHARS = 80;

    /** Shortens the faulty text and replaces control characters in it. */
    public RuleFault {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(form, "form is null");
        found = sanitize(found);
    }

    /**
     * Returns the description of the fault.
     *
     * @return the description, such as {@code the value is not valid: timeout=soon}
     */
    public String reason() {
        return found.isEmpty() ? kind.reason() : kind.reason() + ": " + found;
    }

    /**
     * Returns the remedy.
     *
     * @return the remedy, such as {@code use a value of the expected form: timeout=4s}
     */
    public String remedy() {
        return form.isEmpty() ? kind.remedy() : kind.remedy() + ": " + form;
    }

    /**
     * Returns a one-line message for an operator.
     *
     * @return the line number, the reason and the remedy
     */
    public String message() {
        return "line " + line + ": " + reason() + "; " + remedy();
    }

    private static String sanitize(String text) {
        String cut = text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
        StringBuilder result = new StringBuilder();
        cut.chars().forEach(c -> result.append(RuleLine.isAllowed((char) c) ? (char) c : '?'));
        return result.toString();
    }
}
