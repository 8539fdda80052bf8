package org.teaselhook.bench.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.teaselhook.bench.process.StoredChange;
import org.teaselhook.core.rules.RulesText;

/**
 * Records the responses that racing operators received and checks them against the history in the table service. Each
 * change takes out a zone that is named after its operation and never brought back, either by editing that line or by
 * replacing the whole file. Thread-safe.
 */
final class RaceHistoryChecker {

    private static final String EDIT_AUTHOR = "harness";
    private static final String EDIT_REASON = "taken out by command";

    private final Map<String, Long> accepted = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Set<String> unsettled = new HashSet<>();
    private final Map<String, Replacement> replacements = new HashMap<>();

    private record Replacement(long expectedVersion, String text) {}

    /** Records that an operation is about to replace a version by a whole file. */
    synchronized void recordReplacement(String operation, long expectedVersion, String text) {
        replacements.put(operation, new Replacement(expectedVersion, text));
    }

    synchronized void recordAccepted(String operation, long version) {
        accepted.put(operation, version);
    }

    synchronized void recordRefused(String operation) {
        refused.add(operation);
    }

    synchronized void recordUnsettled(String operation) {
        unsettled.add(operation);
    }

    synchronized String summary() {
        return "accepted=" + accepted.size() + " refused=" + refused.size() + " unsettled=" + unsettled.size();
    }

    /** Returns every contradiction between the stored changes, the final text and the responses to the operators. */
    synchronized List<String> violations(List<StoredChange> stored, String firstText, String finalText) {
        List<String> violations = new ArrayList<>();
        Map<String, Long> versions = new HashMap<>();
        long nextVersion = 1;
        for (StoredChange change : stored) {
            if (change.version() != nextVersion++) {
                violations.add("the history is not consecutive at version " + change.version());
            }
            if (versions.put(change.operation(), change.version()) != null) {
                violations.add("applied twice: " + change.operation());
            }
        }
        accepted.forEach((operation, version) -> {
            if (!version.equals(versions.get(operation))) {
                violations.add("accepted as version " + version + ", stored as version " + versions.get(operation)
                        + ": " + operation);
            }
        });
        refused.stream()
                .filter(versions::containsKey)
                .forEach(operation -> violations.add("refused but stored: " + operation));
        RulesText text = RulesText.of(finalText);
        versions.keySet().stream()
                .filter(operation -> operation.startsWith("race-") && !text.isZoneOut(operation))
                .forEach(operation -> violations.add("lost: " + operation));
        violations.addAll(replayViolations(stored, firstText, finalText));
        return violations;
    }

    /** Replays the stored changes in order and compares the resulting text with the one in the table service. */
    private List<String> replayViolations(List<StoredChange> stored, String firstText, String finalText) {
        List<String> violations = new ArrayList<>();
        RulesText text = RulesText.of(firstText);
        for (StoredChange change : stored) {
            Replacement replacement = replacements.get(change.operation());
            if (replacement != null && replacement.expectedVersion() != change.version() - 1) {
                violations.add("based on version " + replacement.expectedVersion() + ", stored as version "
                        + change.version() + ": " + change.operation());
            }
            if (replacement != null) {
                text = RulesText.of(replacement.text());
            } else if (change.operation().startsWith("race-")) {
                text = text.withZoneOut(change.operation(), EDIT_AUTHOR, EDIT_REASON);
            }
        }
        if (!text.text().equals(RulesText.of(finalText).text())) {
            violations.add("replaying the stored changes gives a different text");
        }
        return violations;
    }
}
