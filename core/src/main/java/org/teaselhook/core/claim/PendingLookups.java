package org.teaselhook.core.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The lookups of one shard that wait for its log to be read up to the end.
 */
final class PendingLookups {

    private final LedgerOutput output;
    private final List<Lookup> waiting = new ArrayList<>();

    PendingLookups(LedgerOutput output) {
        this.output = output;
    }

    private record Lookup(long lookupId, String key, long sinceNanos, long deadlineNanos) {}

    void add(long lookupId, String key, long deadlineNanos, long nowNanos) {
        waiting.add(new Lookup(lookupId, key, nowNanos, deadlineNanos));
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Answers the lookups that came before the log began to be read. */
    void readSince(long startedNanos, Function<String, LookupResult> read) {
        answer(lookup -> lookup.sinceNanos() - startedNanos <= 0, read);
    }

    void expire(long nowNanos) {
        answer(lookup -> lookup.deadlineNanos() - nowNanos <= 0, key -> new LookupResult.NotHeld(false));
    }

    void giveUp() {
        answer(lookup -> true, key -> new LookupResult.NotHeld(false));
    }

    private void answer(Predicate<Lookup> which, Function<String, LookupResult> result) {
        List<Lookup> answered = waiting.stream().filter(which).toList();
        waiting.removeAll(answered);
        answered.forEach(lookup -> output.found(lookup.lookupId(), result.apply(lookup.key())));
    }
}
