package org.teaselhook.core.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The lines in which two rules files differ. The order of the lines is not significant, so lines are compared as a
 * multiset and a moved line is not a difference.
 *
 * @param removed lines of the first file that are missing in the second, in the order of the first
 * @param added lines of the second file that are missing in the first, in the order of the second
 */
public record RulesDiff(List<String> removed, List<String> added) {

    /** Copies the lists. */
    public RulesDiff {
        removed = List.copyOf(removed);
        added = List.copyOf(added);
    }

    // -- factories

    /**
     * Compares two rules files.
     *
     * @param from the first file
     * @param to the second file
     * @return the difference
     */
    public static RulesDiff between(RulesText from, RulesText to) {
        return new RulesDiff(subtract(from.lines(), to.lines()), subtract(to.lines(), from.lines()));
    }

    // -- accessors

    /**
     * Tells whether there is no difference.
     *
     * @return true if both files contain the same lines
     */
    public boolean isEmpty() {
        return removed.isEmpty() && added.isEmpty();
    }

    /**
     * Returns one line per difference.
     *
     * @return the removed lines prefixed with {@code "- "}, then the added lines prefixed with {@code "+ "}
     */
    public List<String> lines() {
        List<String> result = new ArrayList<>();
        removed.forEach(line -> result.add("- " + line));
        added.forEach(line -> result.add("+ " + line));
        return result;
    }

    private static List<String> subtract(List<String> lines, List<String> others) {
        Map<String, Integer> counts = new HashMap<>();
        others.forEach(line -> counts.merge(line, 1, Integer::sum));
        return lines.stream()
                .filter(line -> counts.merge(line, -1, Integer::sum) < 0)
                .toList();
    }
}
