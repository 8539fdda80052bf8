package org.teaselhook.node.admin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.node.config.ConfigStore;
import org.teaselhook.node.config.DirectTable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class AdminHandlerTest {

    private static final Map<String, String> OPERATION =
            Map.of(AdminHeaders.OPERATION, "op-1", AdminHeaders.AUTHOR, "Anil");
    private static final String TOO_LONG = "x".repeat(65);

    private final AdminHandler handler =
            AdminHandler.of(ConfigStore.of(new UnavailableTable(), () -> 0), new StubCluster());

    // -- handle

    @DataProvider
    public Object[][] failingRequests() {
        return new Object[][] {
            {"GET", "rules/", Map.of(), 404},
            {"GET", "zones/a/out/b", Map.of(), 404},
            {"POST", "zones/a/away", OPERATION, 404},
            {"GET", "zones/a/out", OPERATION, 405},
            {"POST", "zones//out", OPERATION, 400},
            {"POST", "zones/a b/out", OPERATION, 400},
            {"POST", "zones/a/out", Map.of(), 400},
            {"POST", "zones/a/out", Map.of(AdminHeaders.OPERATION, TOO_LONG, AdminHeaders.AUTHOR, "A"), 400},
            {"POST", "zones/a/out", Map.of(AdminHeaders.OPERATION, "o", AdminHeaders.AUTHOR, "A: b"), 400},
            {"PUT", "rules", OPERATION, 400},
            {"PUT", "rules", Map.of(AdminHeaders.EXPECTED_VERSION, "-1"), 400},
            {"PUT", "rules", Map.of(AdminHeaders.EXPECTED_VERSION, "9".repeat(30)), 400},
            {"POST", "zones/a/out", OPERATION, 503},
            {"GET", "rules/history", Map.of(), 503},
        };
    }

    @Test(dataProvider = "failingRequests")
    public void shouldAnswerFailureWithProblemAndRemedy(
            String method, String path, Map<String, String> headers, int status) {
        HttpReply reply = send(method, path, headers, "");

        assertEquals(reply.status(), status, reply.text());
        assertEquals(reply.header("content-type").orElse(""), "application/problem+json");
        assertTrue(reply.text().matches(".*\"remedy\":\"[^\"]+.*"), reply.text());
    }

    @Test
    public void shouldRejectInvalidRulesWhileTableServiceIsDown() {
        Map<String, String> headers =
                Map.of(AdminHeaders.OPERATION, "op-1", AdminHeaders.AUTHOR, "Anil", AdminHeaders.EXPECTED_VERSION, "0");

        HttpReply reply = send("PUT", "rules", headers, "zone a out\nrubbish # A: b\n");

        assertEquals(reply.status(), 422);
        assertTrue(reply.text().contains("\"line\":1") && reply.text().contains("\"line\":2"), reply.text());
    }

    @Test
    public void shouldShowHeldRulesWhileTableServiceIsDown() {
        HttpReply reply = send("GET", "rules", Map.of(), "");

        assertEquals(reply.header(AdminHeaders.VERSION).orElse(""), "7");
        assertEquals(reply.header(AdminHeaders.SOURCE).orElse(""), "entry");
    }

    @Test
    public void shouldAnswerChangeOnlyAfterAnotherEntryHasConfirmedIt() {
        StubCluster cluster = new StubCluster();
        CompletableFuture<Void> confirmed = new CompletableFuture<>();
        cluster.pushed = confirmed;
        AdminHandler working = AdminHandler.of(ConfigStore.of(new DirectTable(), () -> 0), cluster);
        CompletableFuture<HttpReply> reply = working.handle(
                        HttpCall.of("POST", AdminHandler.PREFIX + "zones/a/out", OPERATION, new byte[0]))
                .toCompletableFuture();

        assertFalse(reply.isDone());
        confirmed.complete(null);
        assertEquals(reply.join().status(), 200);
    }

    @Test
    public void shouldRefuseChangesWhileStopping() {
        StubCluster cluster = new StubCluster();
        cluster.stopping = true;
        AdminHandler stopping = AdminHandler.of(ConfigStore.of(new DirectTable(), () -> 0), cluster);
        HttpReply reply = stopping.handle(
                        HttpCall.of("POST", AdminHandler.PREFIX + "zones/a/out", OPERATION, new byte[0]))
                .toCompletableFuture()
                .join();

        assertEquals(reply.status(), 503);
        assertTrue(reply.text().contains("ask another entry"), reply.text());
    }

    private HttpReply send(String method, String path, Map<String, String> headers, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return handler.handle(HttpCall.of(method, AdminHandler.PREFIX + path, headers, bytes))
                .toCompletableFuture()
                .join();
    }

    private static final class StubCluster implements Cluster {
        private boolean stopping;
        private CompletionStage<Void> pushed =
                CompletableFuture.failedStage(new AssertionError("nothing was accepted"));

        @Override
        public boolean isStopping() {
            return stopping;
        }

        @Override
        public CompletionStage<List<ProcessStatus>> processes() {
            return CompletableFuture.completedStage(List.of());
        }

        @Override
        public CompletionStage<HeldConfig> heldConfig() {
            return CompletableFuture.completedStage(
                    new HeldConfig(ConfigVersion.of(7), "# seven\n", "op-7", Set.of(), false));
        }

        @Override
        public CompletionStage<Void> push(ConfigVersion version, String text, String operation) {
            return pushed;
        }
    }

    private static final class UnavailableTable implements TableService {

        @Override
        public CompletionStage<TableResult> read(String key) {
            return unavailable();
        }

        @Override
        public CompletionStage<TableResult> scan(String fromInclusive, String toExclusive, int limit) {
            return unavailable();
        }

        @Override
        public CompletionStage<TableResult> commit(Transaction transaction) {
            return unavailable();
        }

        private static CompletionStage<TableResult> unavailable() {
            return CompletableFuture.completedStage(new TableResult.Unavailable("table service is down"));
        }
    }
}
