package org.teaselhook.node.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.teaselhook.core.claim.HomeEntry;
import org.teaselhook.core.claim.TicketLimits;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.table.HttpTableService;
import org.teaselhook.node.caller.SubmissionName;
import org.teaselhook.standin.table.TableFaults;
import org.teaselhook.standin.table.TableServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class AdmissionsTest {

    private static final TicketLimits SHORT_TICKETS = new TicketLimits(1_000, 60_000, 1_000);
    private static final long SETTLE_MILLIS = 300;

    private TableServer server;
    private HttpClient client;
    private Map<Incarnation, TestEntry> cluster;
    private TestEntry first;
    private TestEntry second;

    @BeforeMethod
    public void start() {
        server = TableServer.start(new InetSocketAddress("127.0.0.1", 0), TableFaults.none(), 1);
        client = HttpClient.create(32, 1_000);
        cluster = new HashMap<>();
        first = entry(1);
        second = entry(2);
    }

    private TestEntry entry(long number) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.port());
        return new TestEntry(number, cluster, HttpTableService.of(client, address, 1_000), SHORT_TICKETS);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        cluster.values().forEach(TestEntry::close);
        client.close();
        server.close();
    }

    // -- copies of a request that were received before a refusal

    @Test
    public void shouldNotStartEarlierCopyAfterRefusalByAnotherEntry() throws Exception {
        connectWorkers();
        first.ready = false;
        SubmissionName name = keyWithHome(first, 0);
        CompletableFuture<Outcome> earlier = submitWithHeldCall(name);
        assertEquals(kind(first.submit(name)), "not-run NOT_READY");
        second.releaseCalls(false);
        assertEquals(kind(earlier), "not-run NOT_READY");
        assertEquals(starts(name), 0);
    }

    @Test
    public void shouldRunResubmissionAfterRefusalByClaim() throws Exception {
        connectWorkers();
        first.ready = false;
        SubmissionName name = keyWithHome(first, 0);
        submitWithHeldCall(name);
        assertEquals(kind(first.submit(name)), "not-run NOT_READY");
        second.releaseCalls(false);
        first.ready = true;
        Thread.sleep(SETTLE_MILLIS);
        assertEquals(kind(second.submit(name)), "complete");
        assertEquals(kind(first.submit(name)), "complete");
        assertEquals(starts(name), 1);
    }

    @Test
    public void shouldAnswerMayHaveRunOnlyForKeysWithCopiesDuringOutage() throws Exception {
        connectWorkers();
        SubmissionName name = keyWithHome(first, 0);
        submitWithHeldCall(name);
        server.setFaults(TableFaults.none().withOutage(TableFaults.Outage.REFUSING));
        first.ready = false;
        assertEquals(kind(first.submit(name)), "may-have-run NOT_READY");
        assertEquals(kind(first.submit(keyWithHome(first, 1))), "not-run NOT_READY");
        first.ready = true;
        second.holdCalls = false;
        assertEquals(kind(second.submit(keyWithHome(first, 2))), "not-run CLAIMS_UNAVAILABLE");
    }

    @DataProvider
    public Object[][] names() {
        return new Object[][] {{SubmissionName.Kind.KEY}, {SubmissionName.Kind.TICKET}};
    }

    @Test(dataProvider = "names")
    public void shouldNotStartEarlierCopyAfterRefusalByHolder(SubmissionName.Kind kind) throws Exception {
        SubmissionName name = kind == SubmissionName.Kind.KEY ? keyWithHome(first, 0) : ticketIssuedBy(first);
        CompletableFuture<Outcome> earlier = submitWithHeldCall(name);
        assertEquals(kind(first.submit(name)), "not-run NO_WORKER");
        connectWorkers();
        second.releaseCalls(true);
        assertEquals(kind(earlier), "not-run NO_WORKER");
        assertEquals(starts(name), 0);
        Thread.sleep(SETTLE_MILLIS);
        assertEquals(kind(second.submit(name)), "complete");
    }

    @Test
    public void shouldNotWriteToTableForRefusalsWhileAllEntriesRespond() throws Exception {
        first.ready = false;
        long before = server.counters().writes();
        for (int i = 0; i < 20; i++) {
            assertEquals(kind(first.submit(keyWithHome(first, i))), "not-run NOT_READY");
        }
        assertEquals(server.counters().writes(), before);
    }

    @Test
    public void shouldRefuseByClaimingKeyWhileEntryIsLost() throws Exception {
        first.ready = false;
        first.allKnownLive = false;
        SubmissionName name = keyWithHome(second, 0);
        assertEquals(kind(first.submit(name)), "not-run NOT_READY");
        connectWorkers();
        assertEquals(kind(second.submit(name)), "not-run NOT_READY");
        assertEquals(starts(name), 0);
    }

    @Test
    public void shouldNotDelayRefusalWhileEntryIsUnresponsive() throws Exception {
        first.ready = false;
        first.holdCalls = true;
        long before = System.nanoTime();
        assertEquals(kind(first.submit(keyWithHome(first, 0))), "not-run NOT_READY");
        assertTrue(System.nanoTime() - before < TimeUnit.SECONDS.toNanos(2));
    }

    // -- late results

    @Test(dataProvider = "names")
    public void shouldReturnLateResultToResubmission(SubmissionName.Kind kind) throws Exception {
        connectWorkers();
        SubmissionName name = kind == SubmissionName.Kind.KEY ? keyWithHome(first, 0) : ticketIssuedBy(first);
        first.holdResults = true;
        assertEquals(kind(first.submit(name, OptionalLong.of(300))), "may-have-run TIMED_OUT");
        assertEquals(kind(second.submit(name)), "may-have-run TIMED_OUT");
        first.releaseResults();
        assertEquals(kind(second.submit(name)), "complete");
        assertEquals(kind(first.submit(name)), "complete");
        assertEquals(starts(name), 1);
    }

    // -- tickets

    @Test
    public void shouldRefuseExpiredTicket() throws Exception {
        connectWorkers();
        SubmissionName ticket = ticketIssuedBy(first);
        SubmissionName used = ticketIssuedBy(first);
        assertEquals(kind(second.submit(used)), "complete");
        Thread.sleep(SHORT_TICKETS.lifetimeMillis());
        assertEquals(kind(first.submit(ticket)), "not-run BAD_TICKET");
        assertEquals(kind(second.submit(ticket)), "not-run BAD_TICKET");
        assertEquals(kind(first.submit(used)), "complete");
        assertEquals(starts(ticket), 0);
    }

    // -- helpers

    private void connectWorkers() {
        cluster.values().forEach(TestEntry::connectWorker);
    }

    /** Submits to the second entry, which holds back its calls to the first one until they are released. */
    private CompletableFuture<Outcome> submitWithHeldCall(SubmissionName name) throws Exception {
        second.holdCalls = true;
        CompletableFuture<Outcome> outcome = second.submit(name);
        while (!second.hasHeldCall()) {
            Thread.sleep(1);
        }
        return outcome;
    }

    private SubmissionName keyWithHome(TestEntry home, int skip) {
        return IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "key-" + i)
                .filter(key -> HomeEntry.of(key, cluster.keySet()).orElseThrow().equals(home.self()))
                .skip(skip)
                .findFirst()
                .map(SubmissionName::key)
                .orElseThrow();
    }

    private static SubmissionName ticketIssuedBy(TestEntry issuer) {
        return SubmissionName.ticket(
                issuer.tickets.issue(1, System.currentTimeMillis()).get(0));
    }

    private long starts(SubmissionName name) {
        return cluster.values().stream()
                .flatMap(entry -> entry.starts.stream())
                .filter(name.text()::equals)
                .count();
    }

    private static String kind(CompletableFuture<Outcome> outcome) throws Exception {
        return outcome.get(10, TimeUnit.SECONDS)
                .fold(
                        complete -> "complete",
                        notRun -> "not-run " + notRun.problem().kind(),
                        mayHaveRun -> "may-have-run " + mayHaveRun.problem().kind());
    }
}
