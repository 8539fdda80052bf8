package org.teaselhook.node.claim;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.agrona.collections.Long2ObjectHashMap;
import org.teaselhook.core.claim.ClaimResult;
import org.teaselhook.core.claim.ClockReading;
import org.teaselhook.core.claim.Ledger;
import org.teaselhook.core.claim.LedgerEvent;
import org.teaselhook.core.claim.LedgerLimits;
import org.teaselhook.core.claim.LedgerOutput;
import org.teaselhook.core.claim.LookupResult;
import org.teaselhook.core.claim.TableCall;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.net.log.LogLine;

/**
 * Runs the ledger on the control thread. All methods but {@link #warmUp()} belong to that thread.
 */
final class LedgerLoop implements LedgerOutput {

    private static final long BUSY_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final long IDLE_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long BUSY_AFTER_EVENT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Ledger ledger;
    private final TableService table;
    private final ClaimListener listener;
    private final Executor control;
    private final Long2ObjectHashMap<CompletableFuture<ClaimResult>> claims = new Long2ObjectHashMap<>();
    private final Long2ObjectHashMap<CompletableFuture<LookupResult>> lookups = new Long2ObjectHashMap<>();
    private final CompletableFuture<Void> warm = new CompletableFuture<>();
    private volatile boolean current;
    private long lastId;
    private int openCalls;
    private long lastTickNanos;
    private long lastEventNanos;

    LedgerLoop(
            Incarnation self,
            LedgerLimits limits,
            RandomGenerator random,
            TableService table,
            ClaimListener listener,
            Executor control) {
        this.lastTickNanos = System.nanoTime();
        this.lastEventNanos = lastTickNanos;
        this.ledger = Ledger.of(self, limits, random, this, lastTickNanos);
        this.table = table;
        this.listener = listener;
        this.control = control;
    }

    // -- operations

    CompletionStage<Void> warmUp() {
        return warm.minimalCompletionStage();
    }

    void claim(CompletableFuture<ClaimResult> result, String key, long bodyDigest, long deadlineNanos) {
        noteEvent();
        lastId++;
        claims.put(lastId, result);
        ledger.claim(lastId, key, bodyDigest, deadlineNanos, now());
    }

    void lookup(CompletableFuture<LookupResult> result, String key, long deadlineNanos) {
        noteEvent();
        lastId++;
        lookups.put(lastId, result);
        ledger.lookup(lastId, key, deadlineNanos, now());
    }

    void abandon(String key) {
        noteEvent();
        ledger.abandon(key);
    }

    /** Tells whether the logs were read to their ends lately; may be asked on any thread. */
    boolean isCurrent() {
        return current;
    }

    /** Returns when to tick next: soon while something is under way, else rarely. */
    long nextTickNanos() {
        return lastTickNanos + (isBusy() ? BUSY_TICK_NANOS : IDLE_TICK_NANOS);
    }

    private boolean isBusy() {
        boolean open = openCalls > 0 || !claims.isEmpty() || !lookups.isEmpty();
        return open || lastTickNanos - lastEventNanos < BUSY_AFTER_EVENT_NANOS;
    }

    private void noteEvent() {
        lastEventNanos = System.nanoTime();
    }

    void tick() {
        ClockReading now = now();
        lastTickNanos = now.nanos();
        ledger.tick(now);
        current = ledger.isCurrent(now.nanos());
        if (ledger.isWarm()) {
            warm.complete(null);
        }
    }

    private static ClockReading now() {
        return ClockReading.of(System.nanoTime(), System.currentTimeMillis());
    }

    // -- output of the ledger

    @Override
    public void startCall(int slot, TableCall call) {
        openCalls++;
        call.executeOn(table).whenComplete((result, failure) -> {
            TableResult known =
                    Optional.ofNullable(result).orElseGet(() -> new TableResult.Unavailable(String.valueOf(failure)));
            control.execute(() -> completed(slot, known));
        });
    }

    private void completed(int slot, TableResult result) {
        openCalls--;
        ledger.callCompleted(slot, result, now());
    }

    @Override
    public void completeClaim(long claimId, ClaimResult result) {
        claims.remove(claimId).complete(result);
    }

    @Override
    public void completeLookup(long lookupId, LookupResult result) {
        lookups.remove(lookupId).complete(result);
    }

    @Override
    public void reportEvent(LedgerEvent event) {
        listener.onEvent(event);
        LogLine line = LogLine.of("claims-" + event.kind().label())
                .with("shard", event.shard())
                .with("sequence", event.sequence())
                .with("claims", event.count())
                .with("tookMicros", event.durationNanos() / 1_000);
        if (event.kind().isRoutine()) {
            line.debug();
        } else {
            line.info();
        }
    }
}
