package org.teaselhook.core.claim;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.teaselhook.core.claim.LedgerEvent.Kind;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.table.Row;
import org.teaselhook.core.table.TableResult;

/**
 * One process's view of the log of one shard. At most one call to the table service is in flight.
 *
 * <p>A row is appended at the first free sequence, on condition that this sequence is still free and that the floor row
 * is unchanged since it was read. A process that appends has therefore read every retained row below. If the result of
 * an append is unknown, the same row is appended again at the same sequence until the log shows that it was appended or
 * no longer can be.
 */
final class ShardLog {

    private static final int TRIM_ROWS = 400;
    private static final long UNREADABLE_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofSeconds(1);

    private final int shard;
    private final Incarnation self;
    private final LedgerLimits limits;
    private final RandomGenerator random;
    private final LedgerOutput output;
    private final AppendTokenBucket tokenBucket;
    private final LogPosition position;
    private final RetentionPolicy retention;
    private final ShardClaims claims;
    private final PendingLookups lookups;

    private Phase phase = Phase.IDLE;
    private Optional<LogBatch> batch = Optional.empty();
    private boolean stale = true;
    private boolean warm;
    private boolean unreadable;
    private long callStartedNanos;
    private long lastAppendNanos;
    private long refreshStartedNanos;
    private long lastTrimNanos;

    ShardLog(
            int shard,
            Incarnation self,
            LedgerLimits limits,
            RandomGenerator random,
            LedgerOutput output,
            AppendTokenBucket tokenBucket,
            long nowNanos) {
        this.shard = shard;
        this.self = self;
        this.limits = limits;
        this.random = random;
        this.output = output;
        this.tokenBucket = tokenBucket;
        this.position = new LogPosition(LogKeys.of(shard));
        this.lastAppendNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(limits.appendIntervalMillis());
        this.lastTrimNanos = nowNanos;
        this.claims = new ShardClaims(self, limits, output);
        this.lookups = new PendingLookups(output);
        this.retention = RetentionPolicy.of(limits.retentionMillis());
    }

    private enum Phase {
        IDLE,
        READING_FLOOR,
        SCANNING,
        APPENDING,
        TRIMMING
    }

    // -- claims

    void claim(long claimId, ClaimRow.Claim claim, long deadlineNanos, Optional<Duration> refusal, ClockReading now) {
        boolean ready = warm && !unreadable;
        claims.claim(claimId, claim, deadlineNanos, ready ? refusal : Optional.of(NOT_READY_RETRY_AFTER), now);
    }

    void abandon(String key) {
        claims.abandon(key);
    }

    void expire(ClockReading now) {
        claims.expire(now);
        lookups.expire(now.nanos());
    }

    void refuseAll(Duration retryAfter) {
        claims.refuseAll(retryAfter);
        lookups.answerAllUncertain();
    }

    // -- lookups

    void lookup(long lookupId, String key, boolean fromMemory, long deadlineNanos, long nowNanos) {
        Optional<LookupResult> known = claims.lookupInMemory(key, nowNanos);
        if (known.isPresent() || fromMemory || !warm || unreadable) {
            output.completeLookup(lookupId, known.orElse(new LookupResult.NotHeld(false)));
            return;
        }
        lookups.add(lookupId, key, deadlineNanos, nowNanos);
    }

    /** Marks the log as stale if the floor and tail rows show unread changes that no call in flight will find. */
    void checkAgainst(LogBounds bounds) {
        if (isIdle() && batch.isEmpty() && !position.matches(bounds)) {
            stale = true;
        }
    }

    // -- state

    boolean isIdle() {
        return phase == Phase.IDLE;
    }

    boolean isWarm() {
        return warm;
    }

    /** Tells whether rows of the log may not have been read yet. */
    boolean isBehind() {
        return !warm || stale || unreadable;
    }

    int heldKeyCount() {
        return claims.heldKeyCount();
    }

    /** Tells whether a call is due now. */
    boolean isCallDue(ClockReading now) {
        boolean pausing = unreadable && now.nanos() - callStartedNanos < UNREADABLE_PAUSE_NANOS;
        return !pausing && (needsRefresh() || batch.isPresent() || isAppendDue(now) || isTrimDue(now));
    }

    private boolean needsRefresh() {
        return stale || !lookups.isEmpty();
    }

    private boolean isAppendDue(ClockReading now) {
        long sinceAppendNanos = now.nanos() - lastAppendNanos;
        boolean intervalPassed = sinceAppendNanos >= TimeUnit.MILLISECONDS.toNanos(limits.appendIntervalMillis());
        return claims.hasQueued() && !unreadable && (intervalPassed || tokenBucket.hasToken(now.nanos()));
    }

    private boolean isTrimDue(ClockReading now) {
        return now.nanos() - lastTrimNanos >= retention.trimIntervalNanos() && floorAfterTrim(now) > position.floor();
    }

    private long floorAfterTrim(ClockReading now) {
        return claims.floorAfterTrim(TRIM_ROWS, position.floor(), now);
    }

    // -- calls

    /** Makes the call that is due: an append, a trim, or otherwise a read of the log. */
    void makeCall(ClockReading now) {
        if (!stale && batch.isEmpty() && isAppendDue(now)) {
            startBatch(now);
        }
        if (!stale && batch.isPresent()) {
            call(Phase.APPENDING, position.append(batch.get()), now);
        } else if (!needsRefresh() && isTrimDue(now)) {
            lastTrimNanos = now.nanos();
            call(Phase.TRIMMING, position.trim(floorAfterTrim(now)), now);
        } else {
            refreshStartedNanos = now.nanos();
            call(Phase.READING_FLOOR, position.readFloor(), now);
        }
    }

    private void call(Phase started, TableCall call, ClockReading now) {
        phase = started;
        callStartedNanos = now.nanos();
        output.startCall(shard, call);
    }

    private void startBatch(ClockReading now) {
        ClaimRow row = new ClaimRow(self, random.nextLong(), now.wallMillis(), claims.startBatch());
        batch = Optional.of(new LogBatch(position.next(), row, now, false));
        lastAppendNanos = now.nanos();
        tokenBucket.takeToken(now.nanos());
    }

    private void scan(ClockReading now) {
        call(Phase.SCANNING, position.scan(), now);
    }

    // -- results

    /** Processes the result of the call in flight. */
    void completed(TableResult result, ClockReading now) {
        Phase finished = phase;
        phase = Phase.IDLE;
        switch (finished) {
            case READING_FLOOR -> floorRead(result, now);
            case SCANNING -> scanned(result, now);
            case APPENDING -> appended(result, now);
            case TRIMMING -> trimmed(result, now);
            default -> throw new IllegalStateException("no call is in flight on shard " + shard);
        }
    }

    private void floorRead(TableResult result, ClockReading now) {
        if (result instanceof TableResult.NotFound) {
            scan(now);
        } else if (result instanceof TableResult.Found found) {
            LogKeys.decode(found.row().value())
                    .ifPresentOrElse(
                            newFloor -> raiseFloor(newFloor, found.row().version(), now), this::markUnreadable);
        }
    }

    private void raiseFloor(long newFloor, long version, ClockReading now) {
        claims.removeBelow(newFloor);
        if (position.raiseFloor(newFloor, version)) {
            dropBatch();
        }
        scan(now);
    }

    /** Drops a batch whose sequence is below the floor: if its row was appended, it is past the retention time. */
    private void dropBatch() {
        if (batch.isPresent()) {
            batch = Optional.empty();
            claims.dropBatch();
        }
    }

    private void scanned(TableResult result, ClockReading now) {
        if (!(result instanceof TableResult.Rows rows)) {
            stale = true;
            return;
        }
        long before = position.next();
        boolean contiguous = rows.rows().stream().allMatch(row -> apply(row, now));
        int newRows = (int) (position.next() - before);
        if (newRows > 0) {
            event(Kind.CAUGHT_UP, position.next(), newRows, now);
        }
        if (contiguous && position.isFullScan(rows.rows().size())) {
            scan(now);
            return;
        }
        stale = !contiguous;
        if (contiguous) {
            warm = true;
            unreadable = false;
            position.clearGap();
            lookups.answerAddedBefore(refreshStartedNanos, claims::lookupAfterRead);
        }
    }

    private boolean apply(Row row, ClockReading now) {
        if (!position.isNext(row.key())) {
            if (position.recordGap()) {
                markUnreadable();
            }
            return false;
        }
        Optional<ClaimRow> decoded = ClaimRow.decode(row.value());
        if (decoded.isEmpty()) {
            markUnreadable();
            return false;
        }
        apply(decoded.get(), now);
        return true;
    }

    private void apply(ClaimRow row, ClockReading now) {
        if (batch.isPresent() && batch.get().isSameAs(row)) {
            event(Kind.SETTLED, position.next(), batch.get().size(), now);
            settle(batch.get(), now);
            return;
        }
        if (batch.isPresent()) {
            requeueBatch();
        }
        claims.addReadRow(position.next(), row, now);
        position.advance();
    }

    private void appended(TableResult result, ClockReading now) {
        LogBatch sent = batch.orElseThrow();
        if (result instanceof TableResult.Committed) {
            event(Kind.APPENDED, sent.sequence(), sent.size(), now);
            settle(sent, now);
            return;
        }
        stale = true;
        if (result instanceof TableResult.Conflict) {
            event(Kind.CONFLICT, sent.sequence(), sent.size(), now);
            requeueUnlessUnsettled(sent);
        } else {
            event(Kind.UNSETTLED, sent.sequence(), sent.size(), now);
            batch = Optional.of(sent.asUnsettled());
        }
    }

    private void requeueUnlessUnsettled(LogBatch rejected) {
        if (!rejected.unsettled()) {
            requeueBatch();
        }
    }

    private void requeueBatch() {
        batch = Optional.empty();
        claims.requeueBatch();
    }

    /**
     * Adds the appended row. If a retained row already holds one of its keys, which would be a fault of the ledger,
     * this throws before any claim is answered and leaves the shard unchanged.
     */
    private void settle(LogBatch settled, ClockReading now) {
        claims.addOwnRow(settled.sequence(), settled.row(), settled.firstSent(), now);
        batch = Optional.empty();
        position.advance();
    }

    private void trimmed(TableResult result, ClockReading now) {
        stale = true;
        if (result instanceof TableResult.Committed) {
            event(Kind.TRIMMED, position.floor(), 0, now);
        }
    }

    private void markUnreadable() {
        if (!unreadable) {
            output.reportEvent(new LedgerEvent(Kind.UNREADABLE, shard, position.next(), 0, 0));
        }
        unreadable = true;
        stale = true;
    }

    private void event(Kind kind, long sequence, int count, ClockReading now) {
        output.reportEvent(new LedgerEvent(kind, shard, sequence, count, now.nanos() - callStartedNanos));
    }
}
