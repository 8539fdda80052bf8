package org.teaselhook.bench.claims;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.claim.ClaimResult;
import org.teaselhook.core.claim.HomeEntry;
import org.teaselhook.core.claim.LedgerLimits;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.table.TableService;
import org.teaselhook.node.claim.ClaimListener;
import org.teaselhook.node.claim.ClaimService;

/**
 * One claim ledger for each entry. Each key is claimed at its home entry.
 */
final class PackedLedger implements Claimer {

    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<Incarnation, ClaimService> runningEntries;

    private PackedLedger(Map<Incarnation, ClaimService> runningEntries) {
        this.runningEntries = runningEntries;
    }

    static PackedLedger start(TableService table) {
        Random random = new Random(1);
        Map<Incarnation, ClaimService> runningEntries = new LinkedHashMap<>();
        for (int i = 0; i < ENTRIES; i++) {
            Incarnation self = Incarnation.random(random);
            runningEntries.put(self, ClaimService.start(self, table, LedgerLimits.standard(), ClaimListener.none()));
        }
        runningEntries
                .values()
                .forEach(claims -> claims.warmUp().toCompletableFuture().join());
        return new PackedLedger(runningEntries);
    }

    @Override
    public CompletionStage<Boolean> claim(String key, long nowNanos) {
        ClaimService homeLedger =
                runningEntries.get(HomeEntry.of(key, runningEntries.keySet()).orElseThrow());
        return homeLedger
                .claim(key, key.hashCode(), nowNanos + TIMEOUT_NANOS, nowNanos)
                .thenApply(ClaimResult.Acquired.class::isInstance);
    }

    @Override
    public void killFirstEntry() {
        Incarnation first = runningEntries.keySet().iterator().next();
        runningEntries.remove(first).close();
    }

    @Override
    public void close() {
        runningEntries.values().forEach(ClaimService::close);
    }
}
