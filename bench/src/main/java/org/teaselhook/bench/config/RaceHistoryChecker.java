package org.teaselhook.bench.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.teaselhook.bench.process.KeptChange;
import org.teaselhook.core.rules.RulesText;

/**
 * What racing operators were told about their changes, and the check against what the table service kept. Each change
 * takes a zone out that is named like its operation and is never brought back, by an edit of that line or as part of a
 * whole file. Safe for use by several threads.
 */
final class RaceLedger {

    private static final String EDIT_AUTHOR = "harness";
    private static final String EDIT_REASON = "taken out by command";

    private final Map<String, Long> accepted = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Set<String> unsettled = new HashSet<>();
    private final Map<String, Replacement> replacements = new HashMap<>();

    private record Replacement(long expected, String text) {}

    /** An operation is about to replace a version by a whole file. */
    synchronized void replacing(String operation, long expected, String text) {
        replacements.put(operation, new Replacement(expected, text));
    }

    synchronized void accepted(String operation, long version) {
        accepted.put(operation, version);
    }

    synchronized void refused(String operation) {
        refused.add(operation);
    }

    synchronized void unsettled(String operation) {
        unsettled.add(operation);
    }

    synchronized String summary() {
        return "accepted=" + accepted.size() + " refused=" + refused.size() + " unsettled=" + unsettled.size();
    }

    /** Returns every way in which the kept changes and the final text differ from what operators were told. */
    synchronized List<String> violations(List<KeptChange> kept, String firstText, String finalText) {
        List<String> found = new ArrayList<>();
        Map<String, Long> versions = new HashMap<>();
        long expected = 1;
        for (KeptChange change : kept) {
            if (change.version() != expected++) {
                found.add("the history is no straight line at version " + change.version());
            }
            if (versions.put(change.operation(), change.version()) != null) {
                found.add("applied twice: " + change.operation());
            }
        }
        accepted.forEach((operation, version) -> {
            if (!version.equals(versions.get(operation))) {
                found.add("accepted as " + version + ", kept as " + versions.get(operation) + ": " + operation);
            }
        });
        refused.stream()
                .filter(versions::containsKey)
                .forEach(operation -> found.add("refused, yet kept: " + operation));
        RulesText text = RulesText.of(finalText);
        versions.keySet().stream()
                .filter(operation -> operation.startsWith("race-") && !text.isZoneOut(operation))
                .forEach(operation -> found.add("lost: " + operation));
        found.addAll(replayed(kept, firstText, finalText));
        return found;
    }

    /** Makes every kept change again on the one before it, and compares the end with what the table service holds. */
    private List<String> replayed(List<KeptChange> kept, String firstText, String finalText) {
        List<String> found = new ArrayList<>();
        RulesText text = RulesText.of(firstText);
        for (KeptChange change : kept) {
            Replacement replacement = replacements.get(change.operation());
            if (replacement != null && replacement.expected() != change.version() - 1) {
                found.add("made from " + replacement.expected() + ", kept as " + change.version() + ": "
                        + change.operation());
            }
            if (replacement != null) {
                text = RulesText.of(replacement.text());
            } else if (change.operation().startsWith("race-")) {
                text = text.withZoneOut(change.operation(), EDIT_AUTHOR, EDIT_REASON);
            }
        }
        if (!text.text().equals(RulesText.of(finalText).text())) {
            found.add("the kept changes made in turn give another text");
        }
        return found;
    }
}
