package org.teaselhook.core.claim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The pending claims of one shard: those queued for a row, and those in the row being appended.
 */
final class PendingClaims {

    private final Map<String, PendingClaim> queued = new LinkedHashMap<>();
    private final Map<String, PendingClaim> appending = new LinkedHashMap<>();

    Optional<PendingClaim> find(String key) {
        PendingClaim inRow = appending.get(key);
        return Optional.ofNullable(inRow != null ? inRow : queued.get(key));
    }

    void enqueue(PendingClaim claim) {
        queued.put(claim.key(), claim);
    }

    /** Moves the oldest queued claims into the next row to be appended. */
    Collection<PendingClaim> startBatch(int maxClaims) {
        Iterator<PendingClaim> oldestFirst = queued.values().iterator();
        while (oldestFirst.hasNext() && appending.size() < maxClaims) {
            PendingClaim claim = oldestFirst.next();
            appending.put(claim.key(), claim);
            oldestFirst.remove();
        }
        return appending.values();
    }

    /** Ends the batch and returns its claims. */
    List<PendingClaim> endBatch() {
        List<PendingClaim> claims = List.copyOf(appending.values());
        appending.clear();
        return claims;
    }

    /** Requeues the claims of a batch whose row can no longer be appended, ahead of the queued claims. */
    void requeueBatch() {
        Map<String, PendingClaim> rest = new LinkedHashMap<>(queued);
        queued.clear();
        appending.values().stream().filter(PendingClaim::hasWaiters).forEach(this::enqueue);
        appending.clear();
        queued.putAll(rest);
    }

    Optional<PendingClaim> removeQueued(String key) {
        return Optional.ofNullable(queued.remove(key));
    }

    /** Removes the waiters whose deadline has passed, and returns their claim identifiers. */
    List<Long> expire(long nowNanos) {
        List<Long> expired = new ArrayList<>();
        appending.values().forEach(claim -> expired.addAll(claim.expire(nowNanos)));
        queued.values().forEach(claim -> expired.addAll(claim.expire(nowNanos)));
        queued.values().removeIf(claim -> !claim.hasWaiters());
        return expired;
    }

    /** Removes all waiters, and returns their claim identifiers. */
    List<Long> removeWaiters() {
        List<Long> removed = new ArrayList<>();
        appending.values().forEach(claim -> removed.addAll(claim.removeWaiters()));
        queued.values().forEach(claim -> removed.addAll(claim.removeWaiters()));
        queued.clear();
        return removed;
    }

    boolean hasQueued() {
        return !queued.isEmpty();
    }

    int size() {
        return queued.size() + appending.size();
    }
}
