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
 * takes a zone out that is named like its operation and is never brought back. Safe for use by several threads.
 */
final class RaceLedger {

    private final Map<String, Long> accepted = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Set<String> unsettled = new HashSet<>();

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
    synchronized List<String> violations(List<KeptChange> kept, String finalText) {
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
        return found;
    }
}
