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
 * Injects a failure, takes the id of a request that it struck, and finds the cause through the logs alone.
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

            List<String> story = site.story(refused);
            boolean foreseen = tells(story, "* ", "event=job-refused", "wait_ms=", "free_cpu=");
            boolean expired = tells(story, "* ", "event=job-given-up", "not begun after", "free_cpu=");
            assertTrue(foreseen || expired, String.join("\n", story));
            assertFalse(tells(story, "  ", "event=agent-lost"), String.join("\n", story));
        }
    }

    @Test
    public void shouldFindLostAgentBehindRequestThatWasLate() throws Exception {
        try (ProcessSite site = ProcessSite.start(2, 1_500)) {
            CompletableFuture<HttpReply> sent = site.submit("00000000000000aa", 1, 1_500);
            while (site.worker(0).running() + site.worker(1).running() == 0) {
                Thread.sleep(5);
            }
            int struck = site.worker(0).running() > 0 ? 0 : 1;
            site.agent(struck).kill();
            assertEquals(sent.join().text(), "{\"state\":\"completed\"}");

            List<String> story = site.story("00000000000000aa");
            String agent = "agent=side-" + struck;
            assertTrue(tells(story, "  ", "event=agent-lost", agent), String.join("\n", story));
            assertTrue(tells(story, "* ", "event=job-run-ended", "outcome=LOST"), String.join("\n", story));
            assertTrue(tells(story, "* ", "event=job-completed"), String.join("\n", story));
        }
    }

    @Test
    public void shouldFindChangeOfRoutesBehindRequestThatWasNotRouted() throws Exception {
        try (ProcessSite site = ProcessSite.start(1, 50)) {
            assertEquals(site.submit("00000000000000ab", 1, 200).join().status(), 200);
            site.store().operatorWrites("config", "{\"version\":9,\"routes\":[]}");
            Thread.sleep(1_200);
            assertEquals(site.submit("00000000000000ac", 1, 200).join().status(), 404);

            List<String> story = site.story("00000000000000ac");
            assertTrue(tells(story, "* ", "event=request-unrouted", "no route matches"), String.join("\n", story));
            assertTrue(tells(story, "  ", "event=routes-applied", "config=9"), String.join("\n", story));
        }
    }

    private static boolean tells(List<String> story, String mark, String... parts) {
        return story.stream()
                .anyMatch(
                        line -> line.startsWith(mark) && List.of(parts).stream().allMatch(line::contains));
    }
}
