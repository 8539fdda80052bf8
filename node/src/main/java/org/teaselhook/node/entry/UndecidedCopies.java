package org.teaselhook.node.entry;

import java.util.HashMap;
import java.util.Map;

import org.teaselhook.node.caller.SubmissionName;

/**
 * Counts, by name, the copies of a request that this entry has received and that may still start, here or at the entry
 * to which they were forwarded. Confined to the control thread.
 */
final class UndecidedCopies {

    private final Map<SubmissionName, Integer> counts = new HashMap<>();

    void add(SubmissionName name) {
        counts.merge(name, 1, Integer::sum);
    }

    void remove(SubmissionName name) {
        counts.computeIfPresent(name, (key, count) -> count == 1 ? null : count - 1);
    }

    int count(SubmissionName name) {
        return counts.getOrDefault(name, 0);
    }
}
