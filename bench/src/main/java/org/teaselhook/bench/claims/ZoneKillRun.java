package org.teaselhook.bench.claims;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.teaselhook.bench.process.AgentNode;
import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.HealthProbe;
import org.teaselhook.bench.process.ProcessNode;
import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpResult;
import org.teaselhook.standin.target.TaskListener;

/**
 * Sends non-idempotent requests with new keys to a site of processes, before and after the entry and the agents of one
 * availability zone are killed together. Callers choose among the entries whose last readiness probe succeeded.
 */
final class ZoneKillRun implements AutoCloseable {

    private static final long REQUEST_TIMEOUT_MILLIS = 5_000;
    private static final long CALL_TIMEOUT_MILLIS = 7_000;
    private static final long PROBE_INTERVAL_MILLIS = 200;
    private static final long PROBE_TIMEOUT_MILLIS = 400;
    private static final int WARM_UP_SECONDS = 6;
    private static final int KILL_AFTER_SECONDS = 1;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

    private final Site site;
    private final int perSecond;
    private final Random random;
    private final HealthProbe probe;
    private final List<Thread> probes;
    private volatile List<InetSocketAddress> readyEntries;
    private long lastKey;

    private ZoneKillRun(Site site, int perSecond, long seed) {
        this.site = site;
        this.perSecond = perSecond;
        this.random = new Random(seed);
        this.probe = HealthProbe.of(site.client(), PROBE_TIMEOUT_MILLIS);
        this.readyEntries = site.entries().stream().map(EntryNode::http).toList();
        this.probes = site.entries().stream()
                .map(entry -> new Thread(
                        () -> probe(entry.http()), "probe-" + entry.process().name()))
                .toList();
        probes.forEach(Thread::start);
    }

    // -- factories

    static ZoneKillRun start(int perSecond, long seed) throws InterruptedException {
        SitePlan plan = SitePlan.standard().withoutRelays();
        Site site = Site.start(plan, TaskListener.none(), directory());
        try {
            site.awaitReady(START_TIMEOUT);
            return new ZoneKillRun(site, perSecond, seed);
        } catch (IllegalStateException e) {
            site.close();
            throw e;
        }
    }

    private static Path directory() {
        try {
            return Files.createTempDirectory("zone-kill");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // -- phases

    /** Prints a line for the steady state and one for each second around the kill. Second 1 is the first after it. */
    void run(int seconds) throws InterruptedException {
        phase(WARM_UP_SECONDS);
        print("steady", phase(seconds));
        Executor delayed = CompletableFuture.delayedExecutor(KILL_AFTER_SECONDS, TimeUnit.SECONDS);
        processesIn(site.plan().zone(0)).forEach(process -> delayed.execute(process::kill));
        List<Call> after = phase(seconds);
        for (int second = 0; second < seconds; second++) {
            long from = TimeUnit.SECONDS.toNanos(second);
            List<Call> calls = after.stream()
                    .filter(call -> call.dueNanos() >= from && call.dueNanos() < from + TimeUnit.SECONDS.toNanos(1))
                    .toList();
            print("second-" + (second + 1 - KILL_AFTER_SECONDS), calls);
        }
        print("after-kill-of-a-zone", after);
    }

    private Stream<ProcessNode> processesIn(String zone) {
        Stream<ProcessNode> entries = site.entries().stream()
                .filter(entry -> entry.zone().equals(zone))
                .map(EntryNode::process);
        Stream<ProcessNode> agents = site.agents().stream()
                .filter(agent -> agent.zone().equals(zone))
                .map(AgentNode::process);
        return Stream.concat(entries, agents);
    }

    private static void print(String phase, List<Call> calls) {
        Map<String, List<Call>> byOutcome = calls.stream().collect(Collectors.groupingBy(Call::outcome));
        String outcomes = byOutcome.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> entry.getKey() + "=" + entry.getValue().size() + times(entry.getValue()))
                .collect(Collectors.joining(" "));
        System.out.println("way=ledger-over-processes phase=" + phase + " calls=" + calls.size() + " " + outcomes);
    }

    private static String times(List<Call> calls) {
        List<Long> sorted = calls.stream().map(Call::durationNanos).sorted().toList();
        return String.format(
                "(p50=%dms p99=%dms max=%dms)",
                millis(sorted.get(sorted.size() / 2)),
                millis(sorted.get(sorted.size() * 99 / 100)),
                millis(sorted.get(sorted.size() - 1)));
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    // -- calls

    /** One call; {@code dueNanos} counts from the start of its phase. */
    private record Call(long dueNanos, long durationNanos, String outcome) {}

    private List<Call> phase(int seconds) throws InterruptedException {
        List<CompletableFuture<Call>> calls = new ArrayList<>();
        long startNanos = System.nanoTime();
        long dueNanos = 0;
        while (dueNanos < TimeUnit.SECONDS.toNanos(seconds)) {
            long remainingNanos = startNanos + dueNanos - System.nanoTime();
            TimeUnit.NANOSECONDS.sleep(Math.max(0, remainingNanos));
            calls.add(call(startNanos, dueNanos));
            dueNanos += (long) (-Math.log(1 - random.nextDouble()) / perSecond * TimeUnit.SECONDS.toNanos(1));
        }
        return calls.stream().map(CompletableFuture::join).toList();
    }

    private CompletableFuture<Call> call(long startNanos, long dueNanos) {
        lastKey++;
        Map<String, String> headers = Map.of(
                "idempotency-key",
                "order-" + lastKey,
                "teaselhook-timeout-ms",
                Long.toString(REQUEST_TIMEOUT_MILLIS),
                "content-type",
                "text/plain");
        byte[] body = ("order " + lastKey).getBytes(StandardCharsets.UTF_8);
        String path = "/v1/services/" + SitePlan.SERVICE + "/" + SitePlan.NON_IDEMPOTENT_KIND;
        List<InetSocketAddress> candidates = readyEntries;
        InetSocketAddress entry = candidates.get(random.nextInt(candidates.size()));
        return site.client()
                .send(entry, HttpCall.of("POST", path, headers, body), CALL_TIMEOUT_MILLIS)
                .thenApply(result -> new Call(dueNanos, System.nanoTime() - startNanos - dueNanos, outcome(result)))
                .toCompletableFuture();
    }

    private static String outcome(HttpResult result) {
        return result instanceof HttpResult.Replied replied
                ? replied.reply().header("teaselhook-outcome").orElse("unlabelled")
                : "no-answer";
    }

    // -- load balancer

    private void probe(InetSocketAddress entry) {
        try {
            while (true) {
                updateReady(entry, probe.isReady(entry));
                TimeUnit.MILLISECONDS.sleep(PROBE_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void updateReady(InetSocketAddress entry, boolean isReady) {
        List<InetSocketAddress> next = new ArrayList<>(readyEntries);
        next.remove(entry);
        if (isReady || next.isEmpty()) {
            next.add(entry);
        }
        readyEntries = List.copyOf(next);
    }

    @Override
    public void close() {
        probes.forEach(Thread::interrupt);
        site.close();
    }
}
