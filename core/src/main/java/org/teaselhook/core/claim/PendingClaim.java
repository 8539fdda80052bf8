package org.teaselhook.core.claim;

import java.util.ArrayList;
import java.util.List;

/**
 * A pending claim of one key and the calls that wait for it. If all of them are refused while its row is in flight and
 * the row is appended nevertheless, the claim counts as abandoned.
 */
final class PendingClaim {

    private final String key;
    private final long bodyDigest;
    private final List<Waiter> waiters = new ArrayList<>(1);

    PendingClaim(String key, long bodyDigest) {
        this.key = key;
        this.bodyDigest = bodyDigest;
    }

    private record Waiter(long claimId, long deadlineNanos) {}

    String key() {
        return key;
    }

    long bodyDigest() {
        return bodyDigest;
    }

    boolean hasWaiters() {
        return !waiters.isEmpty();
    }

    void addWaiter(long claimId, long deadlineNanos) {
        waiters.add(new Waiter(claimId, deadlineNanos));
    }

    List<Long> expire(long nowNanos) {
        List<Long> expired = waiters.stream()
                .filter(waiter -> waiter.deadlineNanos() - nowNanos <= 0)
                .map(Waiter::claimId)
                .toList();
        waiters.removeIf(waiter -> expired.contains(waiter.claimId()));
        return expired;
    }

    List<Long> removeWaiters() {
        List<Long> removed = waiters.stream().map(Waiter::claimId).toList();
        waiters.clear();
        return removed;
    }
}
