package org.teaselhook.node.claim;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.teaselhook.core.claim.ClaimResult;
import org.teaselhook.core.claim.LedgerLimits;
import org.teaselhook.core.claim.LookupResult;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.table.HttpTableService;
import org.teaselhook.standin.table.TableFaults;
import org.teaselhook.standin.table.TableServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ClaimServiceTest {

    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final LedgerLimits LENIENT_LIMITS =
            new LedgerLimits(600_000, 256, 2_048, 100_000, 30, 80, 20_000, 500);
    private static final Incarnation FIRST = Incarnation.of(1);
    private static final Incarnation SECOND = Incarnation.of(2);

    private TableServer server;
    private HttpClient client;
    private List<ClaimService> started;

    @BeforeMethod
    public void start() {
        server = TableServer.start(new InetSocketAddress("127.0.0.1", 0), TableFaults.none(), 1);
        client = HttpClient.create(32, 1_000);
        started = new ArrayList<>();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        started.forEach(ClaimService::close);
        client.close();
        server.close();
    }

    // -- claim

    @Test
    public void shouldGrantKeyToOneIncarnation() throws Exception {
        ClaimService first = claims(FIRST);
        ClaimService second = claims(SECOND);
        assertEquals(await(claim(first, "key", 1)), ClaimResult.acquired());
        assertEquals(await(claim(first, "key", 1)), ClaimResult.alreadyHeld());
        assertEquals(await(claim(second, "key", 1)), new ClaimResult.HeldByOther(FIRST));
        assertEquals(await(claim(second, "key", 2)), ClaimResult.bodyMismatch());
    }

    @Test
    public void shouldKnowClaimsAfterWarmUpWithoutFurtherReads() throws Exception {
        assertEquals(await(claim(claims(FIRST), "key", 1)), ClaimResult.acquired());
        ClaimService second = claims(SECOND);
        server.setFaults(TableFaults.none().withOutage(TableFaults.Outage.SILENT));
        assertEquals(await(claim(second, "key", 1)), new ClaimResult.HeldByOther(FIRST));
    }

    @Test
    public void shouldBatchConcurrentClaims() throws Exception {
        ClaimService first = claims(FIRST);
        server.setFaults(TableFaults.none().withLatency(0, 3));
        List<CompletionStage<ClaimResult>> results = IntStream.range(0, 2_000)
                .mapToObj(i -> claim(first, "key-" + i, 1))
                .toList();
        for (CompletionStage<ClaimResult> result : results) {
            assertEquals(await(result), ClaimResult.acquired());
        }
        assertTrue(server.counters().writes() < 200, server.counters().toString());
    }

    @Test
    public void shouldAcquireOnceWhenAnswersAreLost() throws Exception {
        ClaimService first = claims(FIRST);
        server.setFaults(TableFaults.none().withLostAnswers(1));
        CompletionStage<ClaimResult> lost = claim(first, "key", 1);
        assertEquals(await(lost), ClaimResult.acquired());
        assertEquals(await(claim(first, "key", 1)), ClaimResult.alreadyHeld());
    }

    @Test
    public void shouldFailFastDuringOutageAndRecover() throws Exception {
        ClaimService first = claims(FIRST, LedgerLimits.standard());
        server.setFaults(TableFaults.none().withOutage(TableFaults.Outage.SILENT));
        assertTrue(await(claim(first, "a", 1)) instanceof ClaimResult.Unavailable);
        long before = System.nanoTime();
        assertTrue(await(claim(first, "b", 1)) instanceof ClaimResult.Unavailable);
        assertTrue(System.nanoTime() - before < TimeUnit.MILLISECONDS.toNanos(CALL_TIMEOUT_MILLIS));

        server.setFaults(TableFaults.none());
        ClaimResult result = await(claim(first, "b", 1));
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (result instanceof ClaimResult.Unavailable && System.nanoTime() < deadlineNanos) {
            Thread.sleep(50);
            result = await(claim(first, "b", 1));
        }
        assertEquals(result, ClaimResult.acquired());
    }

    @Test
    public void shouldAcquireAgainAfterAbandon() throws Exception {
        ClaimService first = claims(FIRST);
        assertEquals(await(claim(first, "key", 1)), ClaimResult.acquired());
        first.abandon("key");
        assertEquals(await(claim(first, "key", 1)), ClaimResult.acquired());
        assertEquals(await(claim(first, "key", 1)), ClaimResult.alreadyHeld());
    }

    @Test
    public void shouldLookUpHolder() throws Exception {
        ClaimService first = claims(FIRST);
        ClaimService second = claims(SECOND);
        assertEquals(await(second.lookup("key")), new LookupResult.NotHeld(true));
        assertEquals(await(claim(first, "key", 1)), ClaimResult.acquired());
        assertEquals(await(second.lookup("key")), new LookupResult.Held(FIRST, 1));
    }

    @Test
    public void shouldRefuseClaimsWhenClosed() throws Exception {
        ClaimService first = claims(FIRST);
        first.close();
        assertTrue(await(claim(first, "key", 1)) instanceof ClaimResult.Unavailable);
    }

    // -- helpers

    /** Starts claims with limits that keep the circuit breaker closed when a busy machine answers late. */
    private ClaimService claims(Incarnation self) throws Exception {
        return claims(self, LENIENT_LIMITS);
    }

    private ClaimService claims(Incarnation self, LedgerLimits limits) throws Exception {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.port());
        HttpTableService table = HttpTableService.of(client, address, CALL_TIMEOUT_MILLIS);
        ClaimService claims = ClaimService.start(self, table, limits, ClaimListener.none());
        started.add(claims);
        claims.warmUp().toCompletableFuture().get(10, TimeUnit.SECONDS);
        return claims;
    }

    private static CompletionStage<ClaimResult> claim(ClaimService claims, String key, long digest) {
        long now = System.nanoTime();
        return claims.claim(key, digest, now + TimeUnit.SECONDS.toNanos(8), now);
    }

    private static <T> T await(CompletionStage<T> stage) throws Exception {
        return stage.toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
}
