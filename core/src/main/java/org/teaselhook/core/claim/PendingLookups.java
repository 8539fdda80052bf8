package org.teaselhook.core.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The lookups of one shard that wait until its log is read up to the end.
 */
final class PendingLookups {

    private final LedgerOutput output;
    private final List<Lookup> waiting = new ArrayList<>();

    PendingLookups(LedgerOutput output) {
        this.output = output;
    }

    private record Lookup(long lookupId, String key, long addedNanos, long deadlineNanos) {}

    void add(long lookupId, String key, long deadlineNanos, long nowNanos) {
        waiting.add(new Lookup(lookupId, key, nowNanos, deadlineNanos));
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Answers the lookups that were added before the present read of the log started. */
    void answerAddedBefore(long readStartedNanos, Function<String, LookupResult> resultByKey) {
        answer(lookup -> lookup.addedNanos() - readStartedNanos <= 0, resultByKey);
    }

    void expire(long nowNanos) {
        answer(lookup -> lookup.deadlineNanos() - nowNanos <= 0, key -> new LookupResult.NotHeld(false));
    }

    void answerAllUncertain() {
        answer(lookup -> true, key -> new LookupResult.NotHeld(false));
    }

    private void answer(Predicate<Lookup> which, Function<String, LookupResult> result) {
        List<Lookup> answered = waiting.stream().filter(which).toList();
        waiting.removeAll(answered);
        answered.forEach(lookup -> output.completeLookup(lookup.lookupId(), result.apply(lookup.key())));
    }
}
