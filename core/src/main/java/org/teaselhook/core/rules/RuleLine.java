package org.teaselhook.core.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.StringTokenizer;

/**
 * A line of a rules file, split into words and comment.
 *
 * @param number the number of the line, from 1
 * @param words the words before the comment
 * @param comment the text after the first {@code #}, trimmed; empty if there is none
 */
record RuleLine(int number, List<String> words, String comment) {

    RuleLine {
        words = List.copyOf(words);
    }

    static RuleLine of(int number, String text) {
        int hash = text.indexOf('#');
        String before = hash < 0 ? text : text.substring(0, hash);
        String comment = hash < 0 ? "" : text.substring(hash + 1).trim();
        List<String> words = new ArrayList<>();
        StringTokenizer tokens = new StringTokenizer(before, " \t");
        while (tokens.hasMoreTokens()) {
            words.add(tokens.nextToken());
        }
        return new RuleLine(number, words, comment);
    }

    /** Tells whether the comment has the form {@code <author>: <reason>}. */
    boolean namesAuthor() {
        int colon = comment.indexOf(':');
        return colon > 0
                && !comment.substring(0, colon).isBlank()
                && !comment.substring(colon + 1).isBlank();
    }

    String word(int index) {
        return index < words.size() ? words.get(index) : "";
    }

    boolean isZoneOut(String zone) {
        return words.equals(List.of("zone", zone, "out"));
    }

    RuleFault fault(RuleFaultKind kind, String found, String form) {
        return new RuleFault(number, kind, found, form);
    }

    /** Tells whether a character is allowed within a line of a rules file. */
    static boolean isAllowed(char c) {
        return c == '\t' || !Character.isISOControl(c) && !Character.isSurrogate(c) && c != '\ufeff' && c != '\ufffe';
    }
}
