package org.teaselhook.bench.claims;

import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;

import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.table.HttpTableService;
import org.teaselhook.standin.table.TableCounters;
import org.teaselhook.standin.table.TableFaults;
import org.teaselhook.standin.table.TableServer;

/**
 * Runs one strategy on a separate table service, under an open-loop load of new keys with exponentially distributed
 * gaps.
 */
final class ClaimRun implements AutoCloseable {

    private static final long READ_MILLIS = 1;
    private static final long WRITE_MILLIS = 3;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final long DRAIN_TIMEOUT_SECONDS = 10;
    private static final int MAX_CONNECTIONS = 64;

    private final ClaimStrategy strategy;
    private final int perSecond;
    private final Random random;
    private final TableServer server;
    private final HttpClient client;
    private final Claimer claimer;
    private long lastKey;

    private ClaimRun(ClaimStrategy strategy, int perSecond, long seed) {
        this.strategy = strategy;
        this.perSecond = perSecond;
        this.random = new Random(seed);
        this.server = TableServer.start(new InetSocketAddress("127.0.0.1", 0), latencyOnly(), seed);
        this.client = HttpClient.create(MAX_CONNECTIONS, CALL_TIMEOUT_MILLIS);
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.port());
        this.claimer = strategy.start(HttpTableService.of(client, address, CALL_TIMEOUT_MILLIS));
    }

    static ClaimRun start(ClaimStrategy strategy, int perSecond, long seed) {
        return new ClaimRun(strategy, perSecond, seed);
    }

    private static TableFaults latencyOnly() {
        return TableFaults.none().withLatency(READ_MILLIS, WRITE_MILLIS);
    }

    // -- faults

    void beginOutage() {
        server.setFaults(latencyOnly().withOutage(TableFaults.Outage.SILENT));
    }

    void endOutage() {
        server.setFaults(latencyOnly());
    }

    void killFirstEntry() {
        claimer.killFirstEntry();
    }

    // -- load

    /** Runs one phase and returns its results as a line. */
    String phase(String name, double seconds) throws InterruptedException {
        ClaimRecord record = new ClaimRecord();
        TableCounters before = server.counters();
        CompletableFuture<Void> all = load(record, seconds);
        boolean answered = await(all);
        TableCounters after = server.counters();
        return String.format(
                "way=%s load=%d/s phase=%s %s writes=%.1f/s reads=%.1f/s conflicts=%d allAnswered=%s",
                strategy.label(),
                perSecond,
                name,
                record.summary(),
                (after.writes() - before.writes()) / seconds,
                (after.reads() - before.reads()) / seconds,
                after.conflicts() - before.conflicts(),
                answered);
    }

    private CompletableFuture<Void> load(ClaimRecord record, double seconds) {
        CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
        long nextNanos = System.nanoTime();
        long endNanos = nextNanos + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
        while (nextNanos < endNanos) {
            waitUntil(nextNanos);
            CompletableFuture<Void> claim = claim(record, nextNanos);
            all = claim.isDone() ? all : CompletableFuture.allOf(all.isDone() ? claim : all, claim);
            double gapSeconds = -Math.log(1 - random.nextDouble()) / perSecond;
            nextNanos += (long) (gapSeconds * TimeUnit.SECONDS.toNanos(1));
        }
        return all;
    }

    private CompletableFuture<Void> claim(ClaimRecord record, long dueNanos) {
        lastKey++;
        return claimer.claim("order-" + lastKey, System.nanoTime())
                .thenAccept(won -> record.add(won, System.nanoTime() - dueNanos))
                .toCompletableFuture();
    }

    private static void waitUntil(long nanos) {
        long remainingNanos = nanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = nanos - System.nanoTime();
        }
    }

    private static boolean await(CompletableFuture<Void> all) throws InterruptedException {
        try {
            all.get(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            return true;
        } catch (TimeoutException | ExecutionException e) {
            return false;
        }
    }

    @Override
    public void close() {
        claimer.close();
        client.close();
        server.close();
    }
}
