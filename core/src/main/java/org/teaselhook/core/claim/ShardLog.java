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
 * One shard's log as one process sees it. There is at most one call to the table service at a time.
 *
 * <p>A row is appended at the first free sequence, on condition that this sequence is free and that the floor row is
 * as it was read. Whoever appends has therefore read every retained row below. A row without known result is appended
 * again unchanged, at the same sequence, until the log shows that it is there or never can be.
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
    private final AppendBudget budget;
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
            AppendBudget budget,
            long nowNanos) {
        this.shard = shard;
        this.self = self;
        this.limits = limits;
        this.random = random;
        this.output = output;
        this.budget = budget;
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
        lookups.giveUp();
    }

    // -- lookups

    void lookup(long lookupId, String key, boolean fromMemory, long deadlineNanos, long nowNanos) {
        Optional<LookupResult> known = claims.known(key, nowNanos);
        if (known.isPresent() || fromMemory || !warm || unreadable) {
            output.found(lookupId, known.orElse(new LookupResult.NotHeld(false)));
            return;
        }
        lookups.add(lookupId, key, deadlineNanos, nowNanos);
    }

    /** Compares what was read with the floor and tail rows; a call in progress will find out by itself. */
    void compare(LogHeads heads) {
        if (isIdle() && batch.isEmpty() && !position.matches(heads)) {
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

    /** Tells whether rows are known to be missing. */
    boolean isBehind() {
        return !warm || stale || unreadable;
    }

    int heldKeys() {
        return claims.heldKeys();
    }

    /** Tells whether a call is to be made now. */
    boolean wantsCall(ClockReading now) {
        boolean pausing = unreadable && now.nanos() - callStartedNanos < UNREADABLE_PAUSE_NANOS;
        return !pausing && (wantsRefresh() || batch.isPresent() || wantsAppend(now) || wantsTrim(now));
    }

    private boolean wantsRefresh() {
        return stale || !lookups.isEmpty();
    }

    private boolean wantsAppend(ClockReading now) {
        long sinceAppendNanos = now.nanos() - lastAppendNanos;
        boolean paced = sinceAppendNanos >= TimeUnit.MILLISECONDS.toNanos(limits.appendIntervalMillis());
        return claims.hasQueued() && !unreadable && (paced || budget.hasSpare(now.nanos()));
    }

    private boolean wantsTrim(ClockReading now) {
        return now.nanos() - lastTrimNanos >= retention.trimIntervalNanos() && floorAfterTrim(now) > position.floor();
    }

    private long floorAfterTrim(ClockReading now) {
        return claims.floorAfterTrim(TRIM_ROWS, position.floor(), now);
    }

    // -- calls

    /** Makes the most urgent call. */
    void makeCall(ClockReading now) {
        if (!stale && batch.isEmpty() && wantsAppend(now)) {
            startBatch(now);
        }
        if (!stale && batch.isPresent()) {
            call(Phase.APPENDING, position.append(batch.get()), now);
        } else if (!wantsRefresh() && wantsTrim(now)) {
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
        output.call(shard, call);
    }

    private void startBatch(ClockReading now) {
        ClaimRow row = new ClaimRow(self, random.nextLong(), now.wallMillis(), claims.startBatch());
        batch = Optional.of(new LogBatch(position.next(), row, now, false));
        lastAppendNanos = now.nanos();
        budget.spend(now.nanos());
    }

    private void scan(ClockReading now) {
        call(Phase.SCANNING, position.scan(), now);
    }

    // -- results

    /** Takes the result of the call that is outstanding. */
    void completed(TableResult result, ClockReading now) {
        Phase finished = phase;
        phase = Phase.IDLE;
        switch (finished) {
            case READING_FLOOR -> floorRead(result, now);
            case SCANNING -> scanned(result, now);
            case APPENDING -> appended(result, now);
            case TRIMMING -> trimmed(result, now);
            default -> throw new IllegalStateException("no call is outstanding on shard " + shard);
        }
    }

    private void floorRead(TableResult result, ClockReading now) {
        if (result instanceof TableResult.NotFound) {
            scan(now);
        } else if (result instanceof TableResult.Found found) {
            LogKeys.decode(found.row().value())
                    .ifPresentOrElse(read -> raiseFloor(read, found.row().version(), now), this::unreadable);
        }
    }

    private void raiseFloor(long read, long version, ClockReading now) {
        claims.forgetBelow(read);
        if (position.raiseFloor(read, version)) {
            dropBatch();
        }
        scan(now);
    }

    /** Gives up a row whose sequence is below the floor: if it was appended, it is past the retention time. */
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
        boolean contiguous = rows.rows().stream().allMatch(row -> integrate(row, now));
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
            position.noGap();
            lookups.readSince(refreshStartedNanos, claims::read);
        }
    }

    private boolean integrate(Row row, ClockReading now) {
        if (!position.isNext(row.key())) {
            if (position.gapLasts()) {
                unreadable();
            }
            return false;
        }
        Optional<ClaimRow> decoded = ClaimRow.decode(row.value());
        if (decoded.isEmpty()) {
            unreadable();
            return false;
        }
        integrate(decoded.get(), now);
        return true;
    }

    private void integrate(ClaimRow row, ClockReading now) {
        if (batch.isPresent() && batch.get().isSameAs(row)) {
            event(Kind.SETTLED, position.next(), batch.get().size(), now);
            settle(batch.get(), now);
            return;
        }
        if (batch.isPresent()) {
            requeueBatch();
        }
        claims.addRead(position.next(), row, now);
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

    private void requeueUnlessUnsettled(LogBatch refused) {
        if (!refused.unsettled()) {
            requeueBatch();
        }
    }

    private void requeueBatch() {
        batch = Optional.empty();
        claims.requeueBatch();
    }

    /** Should the ledger contradict itself, it fails here before anything is won, and the shard stays as it is. */
    private void settle(LogBatch settled, ClockReading now) {
        claims.addOwn(settled.sequence(), settled.row(), settled.firstSent(), now);
        batch = Optional.empty();
        position.advance();
    }

    private void trimmed(TableResult result, ClockReading now) {
        stale = true;
        if (result instanceof TableResult.Committed) {
            event(Kind.TRIMMED, position.floor(), 0, now);
        }
    }

    private void unreadable() {
        if (!unreadable) {
            output.event(new LedgerEvent(Kind.UNREADABLE, shard, position.next(), 0, 0));
        }
        unreadable = true;
        stale = true;
    }

    private void event(Kind kind, long sequence, int count, ClockReading now) {
        output.event(new LedgerEvent(kind, shard, sequence, count, now.nanos() - callStartedNanos));
    }
}
