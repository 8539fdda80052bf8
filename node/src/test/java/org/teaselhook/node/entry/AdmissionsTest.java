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
    private static final long SETTLED_MILLIS = 300;

    private TableServer server;
    private HttpClient client;
    private Map<Incarnation, TestEntry> site;
    private TestEntry first;
    private TestEntry second;

    @BeforeMethod
    public void start() {
        server = TableServer.start(new InetSocketAddress("127.0.0.1", 0), TableFaults.none(), 1);
        client = HttpClient.create(32, 1_000);
        site = new HashMap<>();
        first = entry(1);
        second = entry(2);
    }

    private TestEntry entry(long number) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.port());
        return new TestEntry(number, site, HttpTableService.of(client, address, 1_000), SHORT_TICKETS);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        site.values().forEach(TestEntry::close);
        client.close();
        server.close();
    }

    // -- copies of a request that were received before a refusal

    @Test
    public void shouldNotStartEarlierCopyAfterRefusalElsewhere() throws Exception {
        connectWorkers();
        first.ready = false;
        SubmissionName name = keyAtHome(first, 0);
        CompletableFuture<Outcome> earlier = submitHeld(name);
        assertEquals(kind(first.submit(name)), "not-run NOT_READY");
        second.release(false);
        assertEquals(kind(earlier), "not-run NOT_READY");
        assertEquals(starts(name), 0);
    }

    @Test
    public void shouldRunResubmissionAfterRefusalByClaim() throws Exception {
        connectWorkers();
        first.ready = false;
        SubmissionName name = keyAtHome(first, 0);
        submitHeld(name);
        assertEquals(kind(first.submit(name)), "not-run NOT_READY");
        second.release(false);
        first.ready = true;
        Thread.sleep(SETTLED_MILLIS);
        assertEquals(kind(second.submit(name)), "complete");
        assertEquals(kind(first.submit(name)), "complete");
        assertEquals(starts(name), 1);
    }

    @Test
    public void shouldBeDoubtfulOnlyOfKeysWithCopiesInOutage() throws Exception {
        connectWorkers();
        SubmissionName name = keyAtHome(first, 0);
        submitHeld(name);
        server.faults(TableFaults.none().withOutage(TableFaults.Outage.REFUSING));
        first.ready = false;
        assertEquals(kind(first.submit(name)), "may-have-run NOT_READY");
        assertEquals(kind(first.submit(keyAtHome(first, 1))), "not-run NOT_READY");
        first.ready = true;
        second.holdsCalls = false;
        assertEquals(kind(second.submit(keyAtHome(first, 2))), "not-run CLAIMS_UNAVAILABLE");
    }

    @DataProvider
    public Object[][] names() {
        return new Object[][] {{SubmissionName.Kind.KEY}, {SubmissionName.Kind.TICKET}};
    }

    @Test(dataProvider = "names")
    public void shouldNotStartEarlierCopyAfterRefusalByHolder(SubmissionName.Kind kind) throws Exception {
        SubmissionName name = kind == SubmissionName.Kind.KEY ? keyAtHome(first, 0) : ticketOf(first);
        CompletableFuture<Outcome> earlier = submitHeld(name);
        assertEquals(kind(first.submit(name)), "not-run NO_WORKER");
        connectWorkers();
        second.release(true);
        assertEquals(kind(earlier), "not-run NO_WORKER");
        assertEquals(starts(name), 0);
        Thread.sleep(SETTLED_MILLIS);
        assertEquals(kind(second.submit(name)), "complete");
    }

    @Test
    public void shouldWriteNothingForRefusalsWhileAllEntriesAnswer() throws Exception {
        first.ready = false;
        long before = server.counters().writes();
        for (int i = 0; i < 20; i++) {
            assertEquals(kind(first.submit(keyAtHome(first, i))), "not-run NOT_READY");
        }
        assertEquals(server.counters().writes(), before);
    }

    @Test
    public void shouldRefuseByClaimWhileAnEntryIsLost() throws Exception {
        first.ready = false;
        first.noneLost = false;
        SubmissionName name = keyAtHome(second, 0);
        assertEquals(kind(first.submit(name)), "not-run NOT_READY");
        connectWorkers();
        assertEquals(kind(second.submit(name)), "not-run NOT_READY");
        assertEquals(starts(name), 0);
    }

    @Test
    public void shouldNotHoldRefusalBackWhileAnEntryIsSilent() throws Exception {
        first.ready = false;
        first.holdsCalls = true;
        long before = System.nanoTime();
        assertEquals(kind(first.submit(keyAtHome(first, 0))), "not-run NOT_READY");
        assertTrue(System.nanoTime() - before < TimeUnit.SECONDS.toNanos(2));
    }

    // -- results after the answer

    @Test(dataProvider = "names")
    public void shouldReturnLateResultToResubmission(SubmissionName.Kind kind) throws Exception {
        connectWorkers();
        SubmissionName name = kind == SubmissionName.Kind.KEY ? keyAtHome(first, 0) : ticketOf(first);
        first.holdsResults = true;
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
        SubmissionName ticket = ticketOf(first);
        SubmissionName used = ticketOf(first);
        assertEquals(kind(second.submit(used)), "complete");
        Thread.sleep(SHORT_TICKETS.lifetimeMillis());
        assertEquals(kind(first.submit(ticket)), "not-run BAD_TICKET");
        assertEquals(kind(second.submit(ticket)), "not-run BAD_TICKET");
        assertEquals(kind(first.submit(used)), "complete");
        assertEquals(starts(ticket), 0);
    }

    // -- helpers

    private void connectWorkers() {
        site.values().forEach(TestEntry::connectWorker);
    }

    /** Submits to the second entry, whose calls to the first one are held back until they are released. */
    private CompletableFuture<Outcome> submitHeld(SubmissionName name) throws Exception {
        second.holdsCalls = true;
        CompletableFuture<Outcome> outcome = second.submit(name);
        while (!second.hasHeldCall()) {
            Thread.sleep(1);
        }
        return outcome;
    }

    private SubmissionName keyAtHome(TestEntry home, int skip) {
        return IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "key-" + i)
                .filter(key -> HomeEntry.of(key, site.keySet()).orElseThrow().equals(home.self()))
                .skip(skip)
                .findFirst()
                .map(SubmissionName::key)
                .orElseThrow();
    }

    private static SubmissionName ticketOf(TestEntry issuer) {
        return SubmissionName.ticket(
                issuer.tickets.issue(1, System.currentTimeMillis()).get(0));
    }

    private long starts(SubmissionName name) {
        return site.values().stream()
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
