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
import org.teaselhook.node.claim.Claims;

/**
 * One ledger for each entry; a key is claimed at its home.
 */
final class PackedLedger implements Claimer {

    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<Incarnation, Claims> live;

    private PackedLedger(Map<Incarnation, Claims> live) {
        this.live = live;
    }

    static PackedLedger start(TableService table) {
        Random random = new Random(1);
        Map<Incarnation, Claims> live = new LinkedHashMap<>();
        for (int i = 0; i < ENTRIES; i++) {
            Incarnation self = Incarnation.random(random);
            live.put(self, Claims.start(self, table, LedgerLimits.standard(), ClaimListener.none()));
        }
        live.values().forEach(claims -> claims.warmUp().toCompletableFuture().join());
        return new PackedLedger(live);
    }

    @Override
    public CompletionStage<Boolean> claim(String key, long nowNanos) {
        Claims home = live.get(HomeEntry.of(key, live.keySet()).orElseThrow());
        return home.claim(key, key.hashCode(), nowNanos + TIMEOUT_NANOS, nowNanos)
                .thenApply(ClaimResult.Acquired.class::isInstance);
    }

    @Override
    public void killFirst() {
        Incarnation first = live.keySet().iterator().next();
        live.remove(first).close();
    }

    @Override
    public void close() {
        live.values().forEach(Claims::close);
    }
}
