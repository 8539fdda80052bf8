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
 * Runs the ledger on the control thread. Confined to that thread, except for {@link #warmUp()} and
 * {@link #isCurrent()}.
 */
final class LedgerLoop implements LedgerOutput {

    private static final long BUSY_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final long IDLE_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long BUSY_AFTER_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Ledger ledger;
    private final TableService table;
    private final ClaimListener listener;
    private final Executor control;
    private final Long2ObjectHashMap<CompletableFuture<ClaimResult>> pendingClaims = new Long2ObjectHashMap<>();
    private final Long2ObjectHashMap<CompletableFuture<LookupResult>> pendingLookups = new Long2ObjectHashMap<>();
    private final CompletableFuture<Void> warm = new CompletableFuture<>();
    private volatile boolean current;
    private long lastId;
    private int callsInFlight;
    private long lastTickNanos;
    private long lastRequestNanos;

    LedgerLoop(
            Incarnation self,
            LedgerLimits limits,
            RandomGenerator random,
            TableService table,
            ClaimListener listener,
            Executor control) {
        this.lastTickNanos = System.nanoTime();
        this.lastRequestNanos = lastTickNanos;
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
        recordRequest();
        lastId++;
        pendingClaims.put(lastId, result);
        ledger.claim(lastId, key, bodyDigest, deadlineNanos, now());
    }

    void lookup(CompletableFuture<LookupResult> result, String key, long deadlineNanos) {
        recordRequest();
        lastId++;
        pendingLookups.put(lastId, result);
        ledger.lookup(lastId, key, deadlineNanos, now());
    }

    void abandon(String key) {
        recordRequest();
        ledger.abandon(key);
    }

    /** Tells whether all logs were recently read to their ends. May be called on any thread. */
    boolean isCurrent() {
        return current;
    }

    /** Returns the time of the next tick. Ticks are frequent while claims, lookups or calls are in flight. */
    long nextTickNanos() {
        return lastTickNanos + (isBusy() ? BUSY_TICK_NANOS : IDLE_TICK_NANOS);
    }

    private boolean isBusy() {
        boolean pending = callsInFlight > 0 || !pendingClaims.isEmpty() || !pendingLookups.isEmpty();
        return pending || lastTickNanos - lastRequestNanos < BUSY_AFTER_REQUEST_NANOS;
    }

    private void recordRequest() {
        lastRequestNanos = System.nanoTime();
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

    // -- LedgerOutput

    @Override
    public void startCall(int slot, TableCall call) {
        callsInFlight++;
        call.executeOn(table).whenComplete((result, failure) -> {
            TableResult outcome =
                    Optional.ofNullable(result).orElseGet(() -> new TableResult.Unavailable(String.valueOf(failure)));
            control.execute(() -> onCallCompleted(slot, outcome));
        });
    }

    private void onCallCompleted(int slot, TableResult result) {
        callsInFlight--;
        ledger.callCompleted(slot, result, now());
    }

    @Override
    public void completeClaim(long claimId, ClaimResult result) {
        pendingClaims.remove(claimId).complete(result);
    }

    @Override
    public void completeLookup(long lookupId, LookupResult result) {
        pendingLookups.remove(lookupId).complete(result);
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
