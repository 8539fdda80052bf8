package org.teaselhook.bench.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.teaselhook.core.rules.RulesText;

/**
 * Random edits of whole rules files, as racing operators make them: quotas, routes, limits and zones at once. Some
 * lines belong to one operator, and one line is changed by both.
 */
final class RandomRulesEdit {

    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_TASKS = 380;

    private RandomRulesEdit() {}

    /** Returns the text with earlier lines randomly replaced by new ones, and with the operation's zone out. */
    static String edit(String text, String operator, String operation, Random random) {
        List<String> randomRules = List.of(
                "customer race-" + operator + " max-tasks=400 weight=" + (1 + random.nextInt(MAX_WEIGHT)),
                "kind raced " + operator + " idempotent timeout=" + (1 + random.nextInt(9)) + "s run=200ms",
                "limit job-tasks " + (1 + random.nextInt(MAX_TASKS)));
        List<String> lines = new ArrayList<>(RulesText.of(text).lines());
        for (String rule : randomRules) {
            if (random.nextBoolean()) {
                lines.removeIf(line -> line.startsWith(keyPrefix(rule)));
                lines.add(rule + "  # " + operator + ": " + operation);
            }
        }
        return RulesText.of(String.join("\n", lines) + "\n")
                .withZoneOut(operation, operator, "race")
                .text();
    }

    /** Returns the leading words of a rule, with which no other line of a valid file begins. */
    private static String keyPrefix(String rule) {
        String[] words = rule.split(" ");
        int length = words[0].equals("kind") ? 3 : 2;
        return String.join(" ", List.of(words).subList(0, length)) + " ";
    }
}
