package org.teaselhook.app.local;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.teaselhook.net.http.HttpReply;
import org.teaselhook.standin.target.TaskListener;
import org.teaselhook.standin.target.TaskStart;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

public class LocalClusterTest {

    private static final String ENGRAVING = "/v1/services/storefront/engraving";
    private static final String PINHOLE = "/v1/services/storefront/pinhole";
    private static final Pattern FIRST_TICKET = Pattern.compile("\"tickets\":\\[\"([^\"]+)\"");
    private static final int SOCKET_TIMEOUT_MILLIS = 5_000;

    private final AtomicInteger starts = new AtomicInteger();
    private LocalCluster cluster;
    private LocalClient client;

    @BeforeClass
    public void start() {
        cluster = LocalCluster.start(0, countingStarts());
        client = new LocalClient(cluster.http());
        assertTrue(LocalDemo.prepare(cluster, new PrintStream(new ByteArrayOutputStream())));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        client.close();
        cluster.close();
    }

    // -- invalid requests

    @DataProvider
    public Object[][] badRequests() {
        Map<String, String> none = Map.of();
        return new Object[][] {
            {"POST", "/v1/services/nowhere/pinhole", none, "x", 404, "unknown-service"},
            {"POST", "/v1/services/storefront/nothing", none, "x", 404, "unknown-kind"},
            {"POST", "/v1/services/storefront/nothing", Map.of("idempotency-key", "k-404"), "x", 404, "unknown-kind"},
            {"GET", ENGRAVING, none, "", 400, "bad-request"},
            {"POST", "/v2/anything", none, "", 400, "bad-request"},
            {"POST", ENGRAVING, Map.of("idempotency-key", "two words"), "x", 400, "bad-request"},
            {"POST", ENGRAVING, Map.of("teaselhook-timeout-ms", "soon"), "x", 400, "bad-request"},
            {"POST", ENGRAVING, Map.of("teaselhook-ticket", "no-ticket"), "x", 422, "bad-ticket"},
            {"POST", "/v1/jobs", none, "{\"service\":\"storefront\",\"tasks\":[]}", 400, "bad-request"},
            {"POST", "/v1/jobs", none, job("chart", 513), 413, "too-large"},
            {"POST", "/v1/jobs", none, job("nothing", 2), 404, "unknown-kind"},
            {"POST", "/v1/jobs", none, "not json", 400, "bad-request"},
            {"POST", "/v1/tickets?n=0", none, "", 400, "bad-request"},
            {"POST", PINHOLE, none, "x".repeat((4 << 20) + 1), 413, "too-large"},
        };
    }

    @Test(dataProvider = "badRequests")
    public void shouldReportRemedyForBadRequestAndKeepServing(
            String method, String path, Map<String, String> headers, String body, int status, String type) {
        int startsBefore = starts.get();
        String[] parts = path.split("\\?n=");
        HttpReply reply = parts.length == 1
                ? client.send(method, path, headers, body)
                : client.send(method, parts[0], Map.of("n", parts[1]), headers, body);
        assertEquals(reply.status(), status, reply.text());
        assertTrue(reply.text().contains("urn:teaselhook:problem:" + type), reply.text());
        assertTrue(reply.text().contains("\"remedy\":"), reply.text());
        assertEquals(reply.header("teaselhook-outcome").orElse(""), "not-run");
        assertEquals(starts.get(), startsBefore, "a task was started");
        assertEquals(client.send("POST", PINHOLE, Map.of(), "f/200").status(), 200);
    }

    @Test
    public void shouldRejectMalformedHttp() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", cluster.http().getPort())) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write("this is no HTTP\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
            String reply = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(reply.startsWith("HTTP/1.1 400"), reply);
        }
    }

    // -- jobs

    @Test
    public void shouldServeJobOf380Tasks() {
        HttpReply reply = client.send("POST", "/v1/jobs", Map.of("idempotency-key", "job-380"), job("chart", 380));
        assertEquals(reply.status(), 200, reply.text());
        assertEquals(reply.text().split("\"body\":", -1).length - 1, 380);
        assertTrue(reply.text().indexOf("chart 7\"") < reply.text().indexOf("chart 8\""), "answers out of order");
    }

    // -- resubmission

    @Test
    public void shouldReturnCachedAnswerForSameKey() {
        Map<String, String> key = Map.of("idempotency-key", "lid-kept");
        HttpReply first = client.send("POST", ENGRAVING, key, "Anna");
        int startsBefore = starts.get();
        HttpReply second = client.send("POST", ENGRAVING, key, "Anna");
        assertEquals(second.status(), 200);
        assertEquals(second.text(), first.text());
        assertEquals(client.send("GET", "/v1/jobs/lid-kept", Map.of(), "").status(), 200);
        assertEquals(starts.get(), startsBefore, "the task was started again");
    }

    @Test
    public void shouldRefuseSameKeyWithDifferentBody() {
        Map<String, String> key = Map.of("idempotency-key", "lid-other");
        assertEquals(client.send("POST", ENGRAVING, key, "Anna").status(), 200);
        assertEquals(client.send("POST", ENGRAVING, key, "Berta").status(), 422);
        HttpReply idempotent = client.send("POST", PINHOLE, key, "f/200");
        assertEquals(idempotent.status(), 422, "a key identifies one request, regardless of its kind");
        assertEquals(client.send("POST", ENGRAVING, key, "Anna").status(), 200);
    }

    @Test
    public void shouldAdmitTicketOnce() {
        HttpReply tickets = client.send("POST", "/v1/tickets", Map.of("n", "2"), Map.of(), "");
        Matcher matcher = FIRST_TICKET.matcher(tickets.text());
        assertTrue(matcher.find(), tickets.text());
        Map<String, String> ticket = Map.of("teaselhook-ticket", matcher.group(1));
        assertEquals(client.send("POST", ENGRAVING, ticket, "Anna").status(), 200);
        int startsBefore = starts.get();
        assertEquals(client.send("POST", ENGRAVING, ticket, "Anna").status(), 200);
        assertEquals(client.send("POST", ENGRAVING, ticket, "Berta").status(), 422);
        assertEquals(starts.get(), startsBefore, "the task was started again");
    }

    @Test
    public void shouldAssignDistinctSubmissionsToRequestsWithoutKey() {
        HttpReply one = client.send("POST", ENGRAVING, Map.of(), "Anna");
        HttpReply other = client.send("POST", ENGRAVING, Map.of(), "Anna");
        assertNotEquals(
                one.header("teaselhook-submission").orElseThrow(),
                other.header("teaselhook-submission").orElseThrow());
    }

    // -- job lookup

    @Test
    public void shouldReturnNotFoundForUnknownJob() {
        HttpReply reply = client.send("GET", "/v1/jobs/nobody-knows", Map.of(), "");
        assertEquals(reply.status(), 404);
        assertEquals(reply.header("teaselhook-outcome").orElse(""), "unknown");
    }

    // -- helpers

    private TaskListener countingStarts() {
        return new TaskListener() {
            @Override
            public void started(TaskStart start) {
                starts.incrementAndGet();
            }

            @Override
            public void ended(TaskStart start, int status, long wallMillis) {
                // Only starts are counted.
            }
        };
    }

    private static String job(String kind, int tasks) {
        String list = IntStream.range(0, tasks)
                .mapToObj(i -> "{\"kind\":\"" + kind + "\",\"body\":\"" + kind + " " + i + "\"}")
                .collect(Collectors.joining(","));
        return "{\"service\":\"storefront\",\"tasks\":[" + list + "]}";
    }
}
