package org.teaselhook.bench.claims;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.teaselhook.core.claim.Shards;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;

/**
 * A model of shard leases: the holder of a shard claims keys in memory and renews its lease in the table service.
 *
 * <p>The successor of a lost holder cannot know which keys were claimed since the holder's last write. It therefore
 * refuses every key of the shard for the whole retention time.
 */
final class ShardLeases implements Claimer {

    private static final long RENEW_MILLIS = 1_000;
    private static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final TableService table;
    private final ScheduledExecutorService timer;
    private final List<Holder> holders;
    private final Set<String> claimed = ConcurrentHashMap.newKeySet();
    private final Set<Integer> lostShards = new HashSet<>();

    private ShardLeases(TableService table, ScheduledExecutorService timer) {
        this.table = table;
        this.timer = timer;
        this.holders =
                IntStream.range(0, ENTRIES).mapToObj(entry -> new Holder()).toList();
    }

    private static final class Holder {
        private volatile long leaseUntilNanos;
    }

    static ShardLeases start(TableService table) {
        ShardLeases result = new ShardLeases(table, Executors.newSingleThreadScheduledExecutor());
        result.renew().join();
        result.timer.scheduleAtFixedRate(result::renew, RENEW_MILLIS, RENEW_MILLIS, TimeUnit.MILLISECONDS);
        return result;
    }

    private CompletableFuture<Void> renew() {
        return CompletableFuture.allOf(
                IntStream.range(0, ENTRIES).mapToObj(this::renew).toArray(CompletableFuture[]::new));
    }

    private CompletableFuture<Void> renew(int entry) {
        long startedNanos = System.nanoTime();
        return table.commit(Transaction.empty().put("leases/" + entry, new byte[Long.BYTES]))
                .thenAccept(result -> {
                    if (result instanceof TableResult.Committed) {
                        holders.get(entry).leaseUntilNanos = startedNanos + LEASE_NANOS;
                    }
                })
                .toCompletableFuture();
    }

    @Override
    public CompletionStage<Boolean> claim(String key, long nowNanos) {
        int shard = Shards.of(key);
        Holder holder = holders.get(shard % ENTRIES);
        boolean leased = !lostShards.contains(shard) && holder.leaseUntilNanos - nowNanos > 0;
        return CompletableFuture.completedFuture(leased && claimed.add(key));
    }

    @Override
    public void killFirstEntry() {
        IntStream.range(0, Shards.COUNT).filter(shard -> shard % ENTRIES == 0).forEach(lostShards::add);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
