package org.teaselhook.app.local;

import java.io.PrintStream;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.teaselhook.net.http.HttpReply;

/**
 * Prepares a local cluster, and sends one request and one job to it.
 */
public final class LocalDemo {

    private static final String RULES =
            """
            kind storefront pinhole idempotent timeout=4s run=50ms   # Kalnins: size check while the shopper waits
            kind storefront chart idempotent timeout=8s run=50ms     # Kalnins: exposure charts for the box
            kind storefront engraving once timeout=8s run=50ms       # Kalnins: lids are engraved once
            """;
    private static final int JOB_TASKS = 20;
    private static final int READY_ATTEMPTS = 300;
    private static final long READY_POLL_MILLIS = 50;

    private final LocalClient client;
    private final PrintStream out;

    private LocalDemo(LocalClient client, PrintStream out) {
        this.client = client;
        this.out = out;
    }

    /**
     * Applies the initial rules and waits until the cluster is ready.
     *
     * @param cluster the cluster
     * @param out where progress is printed
     * @return true if the cluster became ready
     */
    public static boolean prepare(LocalCluster cluster, PrintStream out) {
        try (LocalClient client = new LocalClient(cluster.http())) {
            return new LocalDemo(client, out).awaitReady();
        }
    }

    /**
     * Sends one request and one job and prints both answers.
     *
     * @param cluster a cluster that is ready
     * @param out where the answers are printed
     * @return true if both completed
     */
    public static boolean run(LocalCluster cluster, PrintStream out) {
        try (LocalClient client = new LocalClient(cluster.http())) {
            LocalDemo demo = new LocalDemo(client, out);
            return demo.sendRequest() & demo.sendJob();
        }
    }

    private boolean awaitReady() {
        boolean applied = false;
        for (int i = 0; i < READY_ATTEMPTS; i++) {
            applied = applied || applyRules();
            if (applied && client.send("GET", "/ready", Map.of(), "").status() == 200) {
                return true;
            }
            pause();
        }
        out.println("not ready: " + client.send("GET", "/ready", Map.of(), "").text());
        return false;
    }

    private boolean applyRules() {
        Map<String, String> headers = Map.of(
                "teaselhook-expected-version", "0",
                "teaselhook-operation", "first-rules",
                "teaselhook-author", "local");
        return client.send("PUT", "/v1/admin/rules", headers, RULES).status() == 200;
    }

    private static void pause() {
        try {
            Thread.sleep(READY_POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean sendRequest() {
        Map<String, String> headers = Map.of("idempotency-key", "lid-1", "content-type", "text/plain");
        return print(
                "one request", client.send("POST", "/v1/services/storefront/engraving", headers, "To Anna, Cesis"));
    }

    private boolean sendJob() {
        String tasks = IntStream.range(0, JOB_TASKS)
                .mapToObj(i -> "{\"kind\":\"chart\",\"body\":\"chart " + i + "\"}")
                .collect(Collectors.joining(","));
        String body = "{\"service\":\"storefront\",\"tasks\":[" + tasks + "]}";
        return print(
                "one job of " + JOB_TASKS + " tasks",
                client.send("POST", "/v1/jobs", Map.of("idempotency-key", "box-1"), body));
    }

    private boolean print(String label, HttpReply reply) {
        out.println(label + ": " + reply.status() + " outcome="
                + reply.header("teaselhook-outcome").orElse("none"));
        out.println(reply.text());
        return reply.status() == 200;
    }
}
