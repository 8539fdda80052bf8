package org.teaselhook.core.claim;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.teaselhook.core.id.Incarnation;

/**
 * One shard's decided and undecided claims, and the answers that follow from them.
 */
final class ShardClaims {

    private static final Duration FULL_RETRY_AFTER = Duration.ofSeconds(5);
    private static final Duration BUSY_RETRY_AFTER = Duration.ofSeconds(1);

    private final Incarnation self;
    private final LedgerLimits limits;
    private final LedgerOutput output;
    private final RetentionPolicy retention;
    private final HeldKeys held = new HeldKeys();
    private final PendingClaims pending = new PendingClaims();

    ShardClaims(Incarnation self, LedgerLimits limits, LedgerOutput output) {
        this.self = self;
        this.limits = limits;
        this.output = output;
        this.retention = RetentionPolicy.of(limits.retentionMillis());
    }

    // -- claims

    void claim(long claimId, ClaimRow.Claim claim, long deadlineNanos, Optional<Duration> refusal, ClockReading now) {
        Optional<HeldKeys.Held> holder = held.find(claim.key());
        if (holder.isPresent()) {
            output.answer(claimId, answerHeld(claim, holder.get(), now));
            return;
        }
        Optional<PendingClaim> undecided = pending.find(claim.key());
        if (undecided.isPresent() && undecided.get().bodyDigest() != claim.bodyDigest()) {
            output.answer(claimId, ClaimResult.otherBody());
            return;
        }
        Optional<Duration> retryAfter = refusal.or(() -> undecided.isPresent() ? Optional.empty() : full());
        if (retryAfter.isPresent() || deadlineNanos - now.nanos() <= 0) {
            output.answer(claimId, new ClaimResult.Unavailable(retryAfter.orElse(BUSY_RETRY_AFTER)));
            return;
        }
        undecided.orElseGet(() -> enqueue(claim)).addWaiter(claimId, deadlineNanos);
    }

    private ClaimResult answerHeld(ClaimRow.Claim claim, HeldKeys.Held holder, ClockReading now) {
        if (holder.bodyDigest() != claim.bodyDigest()) {
            return ClaimResult.otherBody();
        }
        if (!holder.row().writer().equals(self)) {
            return new ClaimResult.HeldBy(holder.row().writer());
        }
        if (!holder.abandoned()) {
            return ClaimResult.mine();
        }
        if (!retention.mayStart(holder.row().readNanos(), now.nanos())) {
            return new ClaimResult.Unavailable(Duration.ofMillis(limits.retentionMillis()));
        }
        held.takeUp(claim.key());
        return ClaimResult.won();
    }

    private Optional<Duration> full() {
        if (held.size() + pending.size() >= limits.maxRetainedClaims()) {
            return Optional.of(FULL_RETRY_AFTER);
        }
        return pending.size() >= limits.maxQueuedClaims() ? Optional.of(BUSY_RETRY_AFTER) : Optional.empty();
    }

    private PendingClaim enqueue(ClaimRow.Claim claim) {
        PendingClaim added = new PendingClaim(claim.key(), claim.bodyDigest());
        pending.enqueue(added);
        return added;
    }

    /** Returns what is certain about a key without a further read, or empty. */
    Optional<LookupResult> known(String key, long nowNanos) {
        return held.find(key)
                .filter(holder ->
                        !holder.abandoned() || retention.mayStart(holder.row().readNanos(), nowNanos))
                .map(ShardClaims::found);
    }

    /** Returns what is certain about a key once the log was read up to its end. */
    LookupResult read(String key) {
        return held.find(key).map(ShardClaims::found).orElseGet(() -> new LookupResult.NotHeld(!isAwaited(key)));
    }

    private static LookupResult found(HeldKeys.Held holder) {
        return holder.abandoned()
                ? new LookupResult.NotHeld(true)
                : new LookupResult.Held(holder.row().writer(), holder.bodyDigest());
    }

    private boolean isAwaited(String key) {
        return pending.find(key).filter(PendingClaim::hasWaiters).isPresent();
    }

    void abandon(String key) {
        held.find(key).filter(holder -> holder.row().writer().equals(self)).ifPresent(holder -> held.abandon(key));
    }

    // -- refusals

    void expire(ClockReading now) {
        refuse(pending.expire(now.nanos()), BUSY_RETRY_AFTER);
    }

    void refuseAll(Duration retryAfter) {
        refuse(pending.removeWaiters(), retryAfter);
    }

    private void refuse(List<Long> claimIds, Duration retryAfter) {
        claimIds.forEach(claimId -> output.answer(claimId, new ClaimResult.Unavailable(retryAfter)));
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

    /** Takes back the claims of a batch whose row can never be appended. */
    void requeueBatch() {
        pending.requeueBatch();
    }

    /** Refuses the claims of a batch whose row, if it was appended, is past the retention time. */
    void dropBatch() {
        pending.endBatch().forEach(claim -> refuse(claim.removeWaiters(), BUSY_RETRY_AFTER));
    }

    // -- rows

    /** Adds the row of the present batch, which was first sent at the given time. */
    void addOwn(long sequence, ClaimRow row, ClockReading firstSent, ClockReading now) {
        row.claims().forEach(claim -> requireFree(claim.key()));
        held.add(sequence, row, firstSent);
        boolean young = retention.mayStart(firstSent.nanos(), now.nanos());
        for (PendingClaim claim : pending.endBatch()) {
            refuse(young ? claim.expire(now.nanos()) : claim.removeWaiters(), BUSY_RETRY_AFTER);
            win(claim);
        }
    }

    private void requireFree(String key) {
        if (held.find(key).isPresent()) {
            throw new IllegalStateException("key " + key + " was appended although a retained row holds it");
        }
    }

    private void win(PendingClaim claim) {
        List<Long> winners = claim.removeWaiters();
        if (winners.isEmpty()) {
            held.abandon(claim.key());
            return;
        }
        output.answer(winners.get(0), ClaimResult.won());
        winners.stream().skip(1).forEach(claimId -> output.answer(claimId, ClaimResult.mine()));
    }

    /** Adds a row that was read. */
    void addRead(long sequence, ClaimRow row, ClockReading now) {
        held.add(sequence, row, now);
        row.claims().forEach(claim -> pending.removeQueued(claim.key()).ifPresent(lost -> lose(lost, now)));
    }

    private void lose(PendingClaim lost, ClockReading now) {
        ClaimRow.Claim claim = new ClaimRow.Claim(lost.key(), lost.bodyDigest());
        HeldKeys.Held holder = held.find(lost.key()).orElseThrow();
        lost.removeWaiters().forEach(claimId -> output.answer(claimId, answerHeld(claim, holder, now)));
    }

    void forgetBelow(long floor) {
        held.forgetBelow(floor);
    }

    /** Returns the floor after deletion of at most a number of rows past the retention time. */
    long floorAfterTrim(int maxRows, long floor, ClockReading now) {
        long cutoffMillis = retention.cutoffMillis(now.wallMillis(), held.newestIsBy(self));
        return held.floorAfterTrim(cutoffMillis, maxRows, floor);
    }

    int heldKeys() {
        return held.size();
    }
}
