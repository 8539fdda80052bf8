package org.teaselhook.core.claim;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.teaselhook.core.id.Incarnation;

/**
 * The held and pending claims of one shard, and the answers that follow from them.
 */
final class ShardClaims {

    private static final Duration FULL_RETRY_AFTER = Duration.ofSeconds(5);
    private static final Duration BUSY_RETRY_AFTER = Duration.ofSeconds(1);

    private final Incarnation self;
    private final LedgerLimits limits;
    private final LedgerOutput output;
    private final RetentionPolicy retention;
    private final HeldKeys heldKeys = new HeldKeys();
    private final PendingClaims pending = new PendingClaims();

    ShardClaims(Incarnation self, LedgerLimits limits, LedgerOutput output) {
        this.self = self;
        this.limits = limits;
        this.output = output;
        this.retention = RetentionPolicy.of(limits.retentionMillis());
    }

    // -- claims

    void claim(long claimId, ClaimRow.Claim claim, long deadlineNanos, Optional<Duration> refusal, ClockReading now) {
        Optional<HeldKeys.HeldKey> heldKey = heldKeys.find(claim.key());
        if (heldKey.isPresent()) {
            output.completeClaim(claimId, answerHeld(claim, heldKey.get(), now));
            return;
        }
        Optional<PendingClaim> pendingClaim = pending.find(claim.key());
        if (pendingClaim.isPresent() && pendingClaim.get().bodyDigest() != claim.bodyDigest()) {
            output.completeClaim(claimId, ClaimResult.bodyMismatch());
            return;
        }
        Optional<Duration> retryAfter =
                refusal.or(() -> pendingClaim.isPresent() ? Optional.empty() : capacityRetryAfter());
        if (retryAfter.isPresent() || deadlineNanos - now.nanos() <= 0) {
            output.completeClaim(claimId, new ClaimResult.Unavailable(retryAfter.orElse(BUSY_RETRY_AFTER)));
            return;
        }
        pendingClaim.orElseGet(() -> enqueue(claim)).addWaiter(claimId, deadlineNanos);
    }

    private ClaimResult answerHeld(ClaimRow.Claim claim, HeldKeys.HeldKey heldKey, ClockReading now) {
        if (heldKey.bodyDigest() != claim.bodyDigest()) {
            return ClaimResult.bodyMismatch();
        }
        if (!heldKey.row().writer().equals(self)) {
            return new ClaimResult.HeldByOther(heldKey.row().writer());
        }
        if (!heldKey.abandoned()) {
            return ClaimResult.alreadyHeld();
        }
        if (!retention.mayStart(heldKey.row().readNanos(), now.nanos())) {
            return new ClaimResult.Unavailable(Duration.ofMillis(limits.retentionMillis()));
        }
        heldKeys.reacquire(claim.key());
        return ClaimResult.acquired();
    }

    private Optional<Duration> capacityRetryAfter() {
        if (heldKeys.size() + pending.size() >= limits.maxRetainedClaims()) {
            return Optional.of(FULL_RETRY_AFTER);
        }
        return pending.size() >= limits.maxQueuedClaims() ? Optional.of(BUSY_RETRY_AFTER) : Optional.empty();
    }

    private PendingClaim enqueue(ClaimRow.Claim claim) {
        PendingClaim added = new PendingClaim(claim.key(), claim.bodyDigest());
        pending.enqueue(added);
        return added;
    }

    /** Returns the result of a lookup that needs no further read of the log, or empty if a read is needed. */
    Optional<LookupResult> lookupInMemory(String key, long nowNanos) {
        return heldKeys.find(key)
                .filter(heldKey ->
                        !heldKey.abandoned() || retention.mayStart(heldKey.row().readNanos(), nowNanos))
                .map(ShardClaims::toLookupResult);
    }

    /** Returns the result of a lookup after the log was read up to its end. */
    LookupResult lookupAfterRead(String key) {
        return heldKeys.find(key)
                .map(ShardClaims::toLookupResult)
                .orElseGet(() -> new LookupResult.NotHeld(!hasWaiters(key)));
    }

    private static LookupResult toLookupResult(HeldKeys.HeldKey heldKey) {
        return heldKey.abandoned()
                ? new LookupResult.NotHeld(true)
                : new LookupResult.Held(heldKey.row().writer(), heldKey.bodyDigest());
    }

    private boolean hasWaiters(String key) {
        return pending.find(key).filter(PendingClaim::hasWaiters).isPresent();
    }

    void abandon(String key) {
        heldKeys.find(key)
                .filter(heldKey -> heldKey.row().writer().equals(self))
                .ifPresent(heldKey -> heldKeys.abandon(key));
    }

    // -- refusals

    void expire(ClockReading now) {
        refuse(pending.expire(now.nanos()), BUSY_RETRY_AFTER);
    }

    void refuseAll(Duration retryAfter) {
        refuse(pending.removeWaiters(), retryAfter);
    }

    private void refuse(List<Long> claimIds, Duration retryAfter) {
        claimIds.forEach(claimId -> output.completeClaim(claimId, new ClaimResult.Unavailable(retryAfter)));
    }

    // -- batches

    boolean hasQueued() {
        return pending.hasQueued();
    }

    List<ClaimRow.Claim> startBatch() {
        return pending.startBatch(limits.maxBatchClaims()).stream()
                .map(claim -> new ClaimRow.Claim(claim.key(), claim.bodyDigest()))
                .toList();
    }

    /** Requeues the claims of a batch whose row can no longer be appended. */
    void requeueBatch() {
        pending.requeueBatch();
    }

    /** Refuses the claims of a batch whose row is past the retention time if it was appended. */
    void dropBatch() {
        pending.endBatch().forEach(claim -> refuse(claim.removeWaiters(), BUSY_RETRY_AFTER));
    }

    // -- rows

    /** Adds the row of the current batch, which was first sent at the given time. */
    void addOwnRow(long sequence, ClaimRow row, ClockReading firstSent, ClockReading now) {
        row.claims().forEach(claim -> requireNotHeld(claim.key()));
        heldKeys.add(sequence, row, firstSent);
        boolean mayStart = retention.mayStart(firstSent.nanos(), now.nanos());
        for (PendingClaim claim : pending.endBatch()) {
            refuse(mayStart ? claim.expire(now.nanos()) : claim.removeWaiters(), BUSY_RETRY_AFTER);
            answerAppended(claim);
        }
    }

    private void requireNotHeld(String key) {
        if (heldKeys.find(key).isPresent()) {
            throw new IllegalStateException("key " + key + " was appended although a retained row holds it");
        }
    }

    private void answerAppended(PendingClaim claim) {
        List<Long> claimIds = claim.removeWaiters();
        if (claimIds.isEmpty()) {
            heldKeys.abandon(claim.key());
            return;
        }
        output.completeClaim(claimIds.get(0), ClaimResult.acquired());
        claimIds.stream().skip(1).forEach(claimId -> output.completeClaim(claimId, ClaimResult.alreadyHeld()));
    }

    /** Adds a row that was read from the log and is not the row of the current batch. */
    void addReadRow(long sequence, ClaimRow row, ClockReading now) {
        heldKeys.add(sequence, row, now);
        row.claims().forEach(claim -> pending.removeQueued(claim.key()).ifPresent(lost -> answerLost(lost, now)));
    }

    private void answerLost(PendingClaim lost, ClockReading now) {
        ClaimRow.Claim claim = new ClaimRow.Claim(lost.key(), lost.bodyDigest());
        HeldKeys.HeldKey heldKey = heldKeys.find(lost.key()).orElseThrow();
        lost.removeWaiters().forEach(claimId -> output.completeClaim(claimId, answerHeld(claim, heldKey, now)));
    }

    void removeBelow(long floor) {
        heldKeys.removeBelow(floor);
    }

    /** Returns the floor after trimming at most {@code maxRows} rows past the retention time. */
    long floorAfterTrim(int maxRows, long floor, ClockReading now) {
        long cutoffMillis = retention.cutoffMillis(now.wallMillis(), heldKeys.isNewestRowBy(self));
        return heldKeys.floorAfterTrim(cutoffMillis, maxRows, floor);
    }

    int heldKeyCount() {
        return heldKeys.size();
    }
}
