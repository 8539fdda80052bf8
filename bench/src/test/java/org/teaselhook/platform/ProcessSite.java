package org.teaselhook.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.teaselhook.app.explain.RequestTimeline;
import org.teaselhook.bench.process.ProcessNode;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.HttpResult;

/**
 * One entry and several agents as separate processes; workers and the platform are stand-ins in this JVM.
 */
final class ProcessSite implements AutoCloseable {

    private static final long READY_NANOS = 30_000_000_000L;

    private final Path directory;
    private final StoreStandIn store = StoreStandIn.start();
    private final HttpClient client = HttpClient.create(64, 500);
    private final InetSocketAddress callers = freeAddress();
    private final InetSocketAddress ready = freeAddress();
    private final ProcessNode entry;
    private final List<ProcessNode> agents = new ArrayList<>();
    private final List<WorkerStandIn> workers = new ArrayList<>();

    private ProcessSite(int workerCount, long runMillis) throws IOException {
        directory = Files.createTempDirectory("process-site");
        store.putOperatorRow("config", InProcessCluster.CONFIG);
        InetSocketAddress grpc = freeAddress();
        entry = node(
                "edge-1",
                "job-entry",
                """
                name: edge-1
                zone: thrissur
                callers: %s
                ready: %s
                agents: %s
                table: %s
                """
                        .formatted(text(callers), text(ready), text(grpc), text(store.address())));
        for (int i = 0; i < workerCount; i++) {
            InetSocketAddress registrations = freeAddress();
            agents.add(node(
                    "side-" + i,
                    "lease-agent",
                    """
                    name: side-%d
                    zone: thrissur
                    registrations: %s
                    table: %s
                    entries: [%s]
                    """
                            .formatted(i, text(registrations), text(store.address()), text(grpc))));
            workers.add(WorkerStandIn.start(
                    "i-" + i,
                    4 * InProcessCluster.CPU_OF_TASK,
                    InProcessCluster.CPU_OF_TASK,
                    runMillis,
                    registrations));
        }
    }

    static ProcessSite start(int workerCount, long runMillis) throws Exception {
        ProcessSite site = new ProcessSite(workerCount, runMillis);
        site.entry.start();
        site.agents.forEach(ProcessNode::start);
        long deadlineNanos = System.nanoTime() + READY_NANOS;
        while (site.readinessStatus() != 200) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("not ready after 30 s; logs are in " + site.directory);
            }
            Thread.sleep(50);
        }
        Thread.sleep(1_000);
        return site;
    }

    private ProcessNode node(String name, String command, String settings) throws IOException {
        Path file = Files.writeString(directory.resolve(name + ".yaml"), settings);
        return ProcessNode.of(name, List.of(command, "--settings", file.toString()), directory);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    private static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    // -- accessors

    StoreStandIn store() {
        return store;
    }

    ProcessNode agent(int number) {
        return agents.get(number);
    }

    WorkerStandIn worker(int number) {
        return workers.get(number);
    }

    // -- callers

    private int readinessStatus() {
        HttpResult result = client.send(ready, HttpCall.of("GET", "/ready"), 500)
                .toCompletableFuture()
                .join();
        return result instanceof HttpResult.Replied replied ? replied.reply().status() : 0;
    }

    CompletableFuture<HttpReply> submit(String id, int tasks, long estimateMillis) {
        Map<String, String> headers = Map.of("teaselhook-timeout-ms", "6000");
        byte[] body = InProcessCluster.job(tasks, estimateMillis);
        HttpCall call = new HttpCall("POST", "/photo/" + id, Map.of(), headers, body, new CompletableFuture<>());
        return client.send(callers, call, 7_000).toCompletableFuture().thenApply(result -> {
            if (result instanceof HttpResult.Replied replied) {
                return replied.reply();
            }
            throw new AssertionError("no answer: " + result);
        });
    }

    /** Returns the log lines of all processes that explain what happened to a request. */
    List<String> logLines(String id) throws IOException, InterruptedException {
        Thread.sleep(200);
        RequestTimeline timeline = RequestTimeline.of(id);
        List<ProcessNode> all = new ArrayList<>(agents);
        all.add(entry);
        for (ProcessNode node : all) {
            for (String line : Files.readAllLines(node.log())) {
                timeline.add(node.name(), line);
            }
        }
        return timeline.format(2_000);
    }

    @Override
    public void close() {
        agents.forEach(ProcessNode::close);
        entry.close();
        workers.forEach(WorkerStandIn::close);
        client.close();
        store.close();
    }
}
