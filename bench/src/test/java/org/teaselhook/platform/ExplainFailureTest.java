package org.teaselhook.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.teaselhook.net.http.HttpReply;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Injects a failure, picks a request that it affected, and finds the cause from the logs alone.
 */
public class ExplainFailureTest {

    @Test
    public void shouldFindLoadBehindRequestThatWasRefused() throws Exception {
        try (ProcessSite site = ProcessSite.start(2, 300)) {
            Map<String, CompletableFuture<HttpReply>> sent = new LinkedHashMap<>();
            for (int i = 0; i < 20; i++) {
                String id = String.format("%016x", i);
                sent.put(id, site.submit(id, 2, 300));
            }
            String refused = sent.entrySet().stream()
                    .filter(e -> e.getValue().join().status() == 429)
                    .map(Map.Entry::getKey)
                    .findFirst()
                    .orElseThrow();

            List<String> logLines = site.logLines(refused);
            boolean refusedOnArrival = hasLine(logLines, "* ", "event=job-refused", "wait_ms=", "free_cpu=");
            boolean expired = hasLine(logLines, "* ", "event=job-given-up", "not begun after", "free_cpu=");
            assertTrue(refusedOnArrival || expired, String.join("\n", logLines));
            assertFalse(hasLine(logLines, "  ", "event=agent-lost"), String.join("\n", logLines));
        }
    }

    @Test
    public void shouldFindLostAgentBehindRequestThatWasLate() throws Exception {
        try (ProcessSite site = ProcessSite.start(2, 1_500)) {
            CompletableFuture<HttpReply> sent = site.submit("00000000000000aa", 1, 1_500);
            while (site.worker(0).runningCount() + site.worker(1).runningCount() == 0) {
                Thread.sleep(5);
            }
            int killed = site.worker(0).runningCount() > 0 ? 0 : 1;
            site.agent(killed).kill();
            assertEquals(sent.join().text(), "{\"state\":\"completed\"}");

            List<String> logLines = site.logLines("00000000000000aa");
            String agent = "agent=side-" + killed;
            assertTrue(hasLine(logLines, "  ", "event=agent-lost", agent), String.join("\n", logLines));
            assertTrue(hasLine(logLines, "* ", "event=job-run-ended", "outcome=LOST"), String.join("\n", logLines));
            assertTrue(hasLine(logLines, "* ", "event=job-completed"), String.join("\n", logLines));
        }
    }

    @Test
    public void shouldFindChangeOfRoutesBehindRequestThatWasNotRouted() throws Exception {
        try (ProcessSite site = ProcessSite.start(1, 50)) {
            assertEquals(site.submit("00000000000000ab", 1, 200).join().status(), 200);
            site.store().putOperatorRow("config", "{\"version\":9,\"routes\":[]}");
            Thread.sleep(1_200);
            assertEquals(site.submit("00000000000000ac", 1, 200).join().status(), 404);

            List<String> logLines = site.logLines("00000000000000ac");
            assertTrue(
                    hasLine(logLines, "* ", "event=request-unrouted", "no route matches"), String.join("\n", logLines));
            assertTrue(hasLine(logLines, "  ", "event=routes-applied", "config=9"), String.join("\n", logLines));
        }
    }

    private static boolean hasLine(List<String> logLines, String mark, String... parts) {
        return logLines.stream()
                .anyMatch(
                        line -> line.startsWith(mark) && List.of(parts).stream().allMatch(line::contains));
    }
}
