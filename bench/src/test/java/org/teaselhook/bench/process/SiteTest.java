package org.teaselhook.bench.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.HttpResult;
import org.teaselhook.standin.target.TaskListener;
import org.teaselhook.standin.target.TaskStart;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Runs two entries and three agents as processes and sends requests and jobs to the entries. */
public class SiteTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long TIMEOUT_MILLIS = 20_000;

    private final Queue<String> started = new ConcurrentLinkedQueue<>();
    private Site site;

    @BeforeClass
    public void start() throws IOException, InterruptedException {
        Path directory = Files.createTempDirectory("site-test");
        site = Site.start(SitePlan.standard().withProcesses(2, 3).withoutRelays(), listener(), directory);
        site.awaitReady(Duration.ofSeconds(60));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (site != null) {
            site.close();
        }
    }

    // -- single requests

    @DataProvider
    public Object[][] kinds() {
        return new Object[][] {{SitePlan.IDEMPOTENT_KIND}, {SitePlan.NON_IDEMPOTENT_KIND}};
    }

    @Test(dataProvider = "kinds")
    public void shouldAnswerOneRequest(String kind) {
        HttpReply reply =
                send(0, HttpCall.of("POST", "/v1/services/patchdesk/" + kind, Map.of(), bytes("tear-" + kind)));

        assertEquals(reply.header("teaselhook-outcome").orElse(""), "complete", reply.text());
        assertTrue(reply.text().startsWith("tear-" + kind + "\n"), reply.text());
    }

    @Test
    public void shouldReturnStoredAnswerToResubmissionAtAnotherEntry() {
        Map<String, String> headers = Map.of("idempotency-key", "pandal-17");
        HttpCall call = HttpCall.of("POST", "/v1/services/patchdesk/booking", headers, bytes("pandal"));

        assertEquals(send(1, call).text(), send(0, call).text());
        assertEquals(started.stream().filter("pandal"::equals).count(), 1);
    }

    // -- jobs

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{20}, {380}};
    }

    @Test(dataProvider = "sizes")
    public void shouldAnswerWholeJobInOrder(int tasks) throws IOException {
        List<String> bodies =
                IntStream.range(0, tasks).mapToObj(i -> tasks + "/" + i).toList();
        HttpReply reply =
                send(1, HttpCall.of("POST", "/v1/jobs", Map.of("teaselhook-timeout-ms", "15000"), job(bodies)));

        assertEquals(reply.header("teaselhook-outcome").orElse(""), "complete", reply.text());
        assertEquals(firstLines(reply), bodies);
        List<String> ofJob =
                started.stream().filter(body -> body.startsWith(tasks + "/")).toList();
        assertEquals(ofJob.size(), tasks);
        assertEquals(new HashSet<>(ofJob).size(), tasks);
    }

    private HttpReply send(int entry, HttpCall call) {
        HttpResult result = site.client()
                .send(site.entries().get(entry).http(), call, TIMEOUT_MILLIS)
                .toCompletableFuture()
                .join();
        assertTrue(result instanceof HttpResult.Replied, result.toString());
        return ((HttpResult.Replied) result).reply();
    }

    private TaskListener listener() {
        return new TaskListener() {
            @Override
            public void started(TaskStart start) {
                started.add(new String(start.body(), StandardCharsets.UTF_8));
            }

            @Override
            public void ended(TaskStart start, int status, long wallMillis) {
                // The test checks the callers' answers instead.
            }
        };
    }

    private static byte[] job(List<String> bodies) {
        ObjectNode root = JSON.createObjectNode().put("service", "patchdesk");
        ArrayNode tasks = root.putArray("tasks");
        bodies.forEach(body -> tasks.addObject().put("kind", "booking").put("body", body));
        return bytes(root.toString());
    }

    private static List<String> firstLines(HttpReply reply) throws IOException {
        List<String> lines = new ArrayList<>();
        for (JsonNode answer : JSON.readTree(reply.body()).path("answers")) {
            lines.add(answer.path("body").asText().lines().findFirst().orElse(""));
        }
        return lines;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
