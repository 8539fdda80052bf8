package org.teaselhook.bench.load;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.standin.table.TableFaults;
import org.teaselhook.standin.target.RunTime;
import org.teaselhook.standin.target.TargetBehaviour;

/** Runs one case under one policy on a separate site. */
final class LoadRun {

    static final TargetBehaviour HEALTHY = TargetBehaviour.of(RunTime.fromBody(RunTime.uniform(50, 1_000)));
    static final TableFaults TABLE_FAULTS = TableFaults.none().withLatency(2, 5);
    static final double HOP_MILLIS = 1;

    private static final int ENTRIES = 3;
    private static final int AGENTS = 11;
    private static final int SLOTS = 8;
    /** Slots of all workers together. */
    static final int TOTAL_SLOTS = AGENTS * SLOTS;

    private static final int WARM_UP_SECONDS = 10;
    private static final String WARM_UP_SUFFIX = "-warm-up";
    private static final long POLL_MILLIS = 20;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(40);
    private static final long DRAIN_TIMEOUT_MILLIS = 25_000;

    private final LoadCase load;
    private final String policy;
    private final long seed;
    private final int seconds;
    private final Path directory;

    LoadRun(LoadCase load, String policy, long seed, int seconds, Path directory) {
        this.load = load;
        this.policy = policy;
        this.seed = seed;
        this.seconds = seconds;
        this.directory = directory;
    }

    LoadReport run() throws InterruptedException {
        StartCounter starts = new StartCounter();
        try (Site site = Site.start(plan(), starts, directory)) {
            site.agents().forEach(agent -> agent.target().behaveAs(HEALTHY));
            site.table().setFaults(TABLE_FAULTS);
            site.awaitReady(READY_TIMEOUT);
            addLatencies(site);
            TimeUnit.SECONDS.sleep(2);
            return measure(site, starts);
        }
    }

    private LoadReport measure(Site site, StartCounter starts) throws InterruptedException {
        warmUp(site);
        EntryCounts before = EntryCounts.read(site);
        starts.reset();
        LoadRecord record = new LoadRecord(seconds);
        List<PlannedRequest> arrivals = Arrivals.draw(seed, load, seconds, TOTAL_SLOTS);
        try (LoadGenerator generator = new LoadGenerator(site, load, record, seconds, seed, "")) {
            generator.start(arrivals);
            for (LoadCase.Fault fault : load.faults()) {
                sleepUntil(generator.startNanos() + (long) (fault.atFraction() * seconds * 1e9));
                fault.action().apply(site);
            }
            sleepUntil(generator.startNanos() + TimeUnit.SECONDS.toNanos(seconds));
            awaitResponses(generator);
        }
        return new LoadReport(
                load, policy, seed, seconds, record, EntryCounts.read(site).since(before), starts);
    }

    /** Lets the JIT compilers warm up. Uses separate task kinds, so that the case starts without run time estimates. */
    private void warmUp(Site site) throws InterruptedException {
        LoadCase steady = LoadCase.STEADY70;
        LoadRecord ignored = new LoadRecord(WARM_UP_SECONDS);
        try (LoadGenerator generator =
                new LoadGenerator(site, steady, ignored, WARM_UP_SECONDS, seed, WARM_UP_SUFFIX)) {
            generator.start(Arrivals.draw(seed + 1, steady, WARM_UP_SECONDS, TOTAL_SLOTS));
            TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
            awaitResponses(generator);
        }
    }

    private static void awaitResponses(LoadGenerator generator) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_TIMEOUT_MILLIS);
        while (!generator.isDone() && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        TimeUnit.SECONDS.sleep(1);
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
    }

    /** Delays messages between workers and entries, as between availability zones. */
    private static void addLatencies(Site site) {
        site.entries()
                .forEach(entry -> entry.grpc().relay().ifPresent(relay -> relay.setLatencyMillis((long) HOP_MILLIS)));
    }

    private SitePlan plan() {
        return SitePlan.standard()
                .withProcesses(ENTRIES, AGENTS)
                .withSlots(SLOTS)
                .withPolicy(policy)
                .withRules(rules());
    }

    private String rules() {
        String kinds = Arrays.stream(RequestKind.values())
                .map(kind -> kind.rule(SitePlan.SERVICE, "", load.declaredFactor())
                        + kind.rule(SitePlan.SERVICE, WARM_UP_SUFFIX, 1))
                .collect(Collectors.joining());
        return kinds
                + "customer pandal weight=1 max-tasks=100000  # pandal: measurement\n"
                + "customer kalnins weight=1 max-tasks=100000  # kalnins: measurement\n";
    }
}
