package org.teaselhook.bench.capacity;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.LongFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.ProcessNode;
import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.net.http.HttpCall;

/** Measures entry processes under increasing rates of tasks, which simulated agents complete immediately. */
final class TaskRates {

    private static final int AGENTS_PER_ENTRY = 20;
    private static final int SLOTS = 32;
    private static final int TASKS_PER_JOB = 100;
    private static final int BODY_BYTES = 64;
    private static final long SETTLE_MILLIS = 2_000;

    private final CapacityRun run;
    private final String part;
    private final String keyPrefix = UUID.randomUUID().toString();

    TaskRates(CapacityRun run, String part) {
        this.run = run;
        this.part = part;
    }

    // -- load patterns

    /** Measures single idempotent requests, which need no claim, at one entry. */
    void runSingle() throws Exception {
        String path = "/v1/services/" + SitePlan.SERVICE + "/" + SitePlan.IDEMPOTENT_KIND;
        run("single_tasks_per_s", 1, 1, new double[] {200, 600, 1_200}, number -> single(path, Map.of()));
    }

    /** Measures jobs at one entry. */
    void runJobs() throws Exception {
        byte[] body = job();
        run("job_tasks_per_s", 1, TASKS_PER_JOB, new double[] {500, 1_500, 3_000}, number -> job(number, body));
    }

    /** Measures submissions with claims at three entries. */
    void runClaimed() throws Exception {
        String path = "/v1/services/" + SitePlan.SERVICE + "/" + SitePlan.NON_IDEMPOTENT_KIND;
        run("claimed_per_s", 3, 1, new double[] {50, 200, 500}, number -> single(path, key(number)));
    }

    // -- calls

    private Map<String, String> key(long number) {
        return Map.of("idempotency-key", keyPrefix + "-" + number);
    }

    private static HttpCall single(String path, Map<String, String> headers) {
        return HttpCall.of("POST", path, headers, new byte[BODY_BYTES]);
    }

    private HttpCall job(long number, byte[] body) {
        return HttpCall.of("POST", "/v1/jobs", key(number), body);
    }

    private static byte[] job() {
        String task = "{\"kind\":\"" + SitePlan.NON_IDEMPOTENT_KIND + "\",\"body\":\"" + "x".repeat(BODY_BYTES) + "\"}";
        String tasks = IntStream.range(0, TASKS_PER_JOB).mapToObj(i -> task).collect(Collectors.joining(","));
        return ("{\"service\":\"" + SitePlan.SERVICE + "\",\"tasks\":[" + tasks + "]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    // -- runs

    private void run(String unit, int entries, int tasksPerCall, double[] tasksPerSecond, LongFunction<HttpCall> call)
            throws Exception {
        SitePlan plan = SitePlan.standard().withProcesses(entries, 0).withSlots(SLOTS);
        Series series = run.series(part, unit);
        try (EntryTestbed testbed = EntryTestbed.start(plan, AGENTS_PER_ENTRY, run.directory(part + "-" + unit))) {
            CallNumbers numbers = new CallNumbers();
            LongFunction<HttpCall> next = ignored -> call.apply(numbers.next());
            measure(testbed.site(), tasksPerSecond[tasksPerSecond.length - 1], tasksPerCall, next);
            for (double rate : tasksPerSecond) {
                series.add(rate, measure(testbed.site(), rate, tasksPerCall, next));
            }
        }
        series.printFits();
    }

    private Map<String, Double> measure(Site site, double rate, int tasksPerCall, LongFunction<HttpCall> call)
            throws InterruptedException {
        List<InetSocketAddress> addresses =
                site.entries().stream().map(EntryNode::http).toList();
        List<ProcessNode> processes = site.processes().toList();
        try (PacedCalls calls = PacedCalls.start(addresses, rate / tasksPerCall, call)) {
            Thread.sleep(SETTLE_MILLIS);
            return new ProcessMeasurement(processes)
                    .counting("complete_tasks_per_s", () -> (double) calls.complete() * tasksPerCall)
                    .counting("failed_tasks_per_s", () -> (double) calls.failed() * tasksPerCall)
                    .counting("table_reads_per_s", () -> site.table().counters().reads())
                    .counting(
                            "table_writes_per_s", () -> site.table().counters().writes())
                    .counting("table_bytes_per_s", () -> IdleEntries.bytes(Stream.of(site.tableLink())))
                    .counting(
                            "session_bytes_per_s",
                            () -> IdleEntries.bytes(site.entries().stream().map(EntryNode::grpc)))
                    .measure(run.seconds());
        }
    }

    /** Numbers the calls across all rates, so that no idempotency key is used twice. */
    private static final class CallNumbers {
        private long last;

        long next() {
            return ++last;
        }
    }
}
