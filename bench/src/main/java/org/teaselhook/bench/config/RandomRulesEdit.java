package org.teaselhook.bench.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.teaselhook.core.rules.RulesText;

/**
 * Whole rules files as racing operators write them: routes, quotas, limits and zones at once, some lines of the
 * operator's own and one that both change.
 */
final class RacedFile {

    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_TASKS = 380;

    private RacedFile() {}

    /** Returns a text with lines drawn at random in place of earlier ones, and the operation's zone out. */
    static String edited(String text, String operator, String operation, Random random) {
        List<String> drawn = List.of(
                "customer race-" + operator + " max-tasks=400 weight=" + (1 + random.nextInt(MAX_WEIGHT)),
                "kind raced " + operator + " idempotent timeout=" + (1 + random.nextInt(9)) + "s run=200ms",
                "limit job-tasks " + (1 + random.nextInt(MAX_TASKS)));
        List<String> lines = new ArrayList<>(RulesText.of(text).lines());
        for (String rule : drawn) {
            if (random.nextBoolean()) {
                lines.removeIf(line -> line.startsWith(subject(rule)));
                lines.add(rule + "  # " + operator + ": " + operation);
            }
        }
        return RulesText.of(String.join("\n", lines) + "\n")
                .withZoneOut(operation, operator, "race")
                .text();
    }

    /** The first words of a rule, which no other line of a sound file begins with. */
    private static String subject(String rule) {
        String[] words = rule.split(" ");
        int length = words[0].equals("kind") ? 3 : 2;
        return String.join(" ", List.of(words).subList(0, length)) + " ";
    }
}
