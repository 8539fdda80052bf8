package org.teaselhook.node.claim;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.random.RandomGenerator;

import org.agrona.collections.Long2ObjectHashMap;
import org.teaselhook.core.claim.ClaimResult;
import org.teaselhook.core.claim.ClockReading;
import org.teaselhook.core.claim.Ledger;
import org.teaselhook.core.claim.LedgerEvent;
import org.teaselhook.core.claim.LedgerLimits;
import org.teaselhook.core.claim.LedgerOutput;
import org.teaselhook.core.claim.TableCall;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.net.log.LogLine;

/**
 * Runs the ledger on the control thread. All methods but {@link #warmUp()} belong to that thread.
 */
final class LedgerLoop implements LedgerOutput {

    private final Ledger ledger;
    private final TableService table;
    private final ClaimListener listener;
    private final Executor control;
    private final Long2ObjectHashMap<CompletableFuture<ClaimResult>> open = new Long2ObjectHashMap<>();
    private final CompletableFuture<Void> warm = new CompletableFuture<>();
    private long lastClaimId;

    LedgerLoop(
            Incarnation self,
            LedgerLimits limits,
            RandomGenerator random,
            TableService table,
            ClaimListener listener,
            Executor control) {
        this.ledger = Ledger.of(self, limits, random, this, System.nanoTime());
        this.table = table;
        this.listener = listener;
        this.control = control;
    }

    // -- operations

    CompletionStage<Void> warmUp() {
        return warm.minimalCompletionStage();
    }

    void claim(CompletableFuture<ClaimResult> result, String key, long bodyDigest, long deadlineNanos) {
        lastClaimId++;
        open.put(lastClaimId, result);
        guarded(() -> ledger.claim(lastClaimId, key, bodyDigest, deadlineNanos, now()));
    }

    void abandon(String key) {
        guarded(() -> ledger.abandon(key));
    }

    void tick() {
        guarded(() -> ledger.tick(now()));
        if (ledger.isWarm()) {
            warm.complete(null);
        }
    }

    void stop() {
        guarded(ledger::stop);
    }

    private void completed(int shard, TableResult result) {
        guarded(() -> ledger.completed(shard, result, now()));
    }

    /** A fault of the ledger is logged; the claims concerned end by their deadline. */
    private void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LogLine.of("claims-fault").with("fault", e).warn();
        }
    }

    private static ClockReading now() {
        return ClockReading.of(System.nanoTime(), System.currentTimeMillis());
    }

    // -- output of the ledger

    @Override
    public void call(int shard, TableCall call) {
        call.makeOn(table).whenComplete((result, failure) -> {
            TableResult known =
                    Optional.ofNullable(result).orElseGet(() -> new TableResult.Unavailable(String.valueOf(failure)));
            onControlThread(() -> completed(shard, known));
        });
    }

    private void onControlThread(Runnable task) {
        try {
            control.execute(task);
        } catch (RejectedExecutionException e) {
            LogLine.of("claims-result-after-stop").debug();
        }
    }

    @Override
    public void answer(long claimId, ClaimResult result) {
        CompletableFuture<ClaimResult> waiting = open.remove(claimId);
        if (waiting != null) {
            waiting.complete(result);
        }
    }

    @Override
    public void event(LedgerEvent event) {
        listener.onEvent(event);
        LogLine line = LogLine.of("claims-" + event.kind().label())
                .with("shard", event.shard())
                .with("sequence", event.sequence())
                .with("claims", event.claims())
                .with("tookMicros", event.tookNanos() / 1_000);
        if (event.kind().isRoutine()) {
            line.debug();
        } else {
            line.info();
        }
    }
}
