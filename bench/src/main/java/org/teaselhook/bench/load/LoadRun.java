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

/** One case under one policy on a site of its own. */
final class LoadRun {

    static final TargetBehaviour SOUND = TargetBehaviour.of(RunTime.inBody(RunTime.uniform(50, 1_000)));
    static final TableFaults TABLE = TableFaults.none().withLatency(2, 5);
    static final double HOP_MILLIS = 1;

    private static final int ENTRIES = 3;
    private static final int AGENTS = 11;
    private static final int SLOTS = 8;
    /** The slots of all workers. */
    static final int ALL_SLOTS = AGENTS * SLOTS;

    private static final int WARM_UP_SECONDS = 10;
    private static final String WARM_UP_SUFFIX = "-warm-up";
    private static final long POLL_MILLIS = 20;
    private static final Duration READY = Duration.ofSeconds(40);
    private static final long DRAIN_MILLIS = 25_000;

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
            site.agents().forEach(agent -> agent.target().behaveAs(SOUND));
            site.table().faults(TABLE);
            site.awaitReady(READY);
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
        List<PlannedRequest> arrivals = Arrivals.draw(seed, load, seconds, ALL_SLOTS);
        try (LoadCallers callers = new LoadCallers(site, load, record, seconds, seed, "")) {
            callers.start(arrivals);
            for (LoadCase.Fault fault : load.faults()) {
                sleepUntil(callers.startNanos() + (long) (fault.time() * seconds * 1e9));
                fault.action().apply(site);
            }
            sleepUntil(callers.startNanos() + TimeUnit.SECONDS.toNanos(seconds));
            awaitAnswers(callers);
        }
        return new LoadReport(
                load, policy, seed, seconds, record, EntryCounts.read(site).since(before), starts);
    }

    /** Lets every process compile its code; under kinds of its own, so that no run time of the case is learned. */
    private void warmUp(Site site) throws InterruptedException {
        LoadCase steady = LoadCase.STEADY70;
        LoadRecord ignored = new LoadRecord(WARM_UP_SECONDS);
        try (LoadCallers callers = new LoadCallers(site, steady, ignored, WARM_UP_SECONDS, seed, WARM_UP_SUFFIX)) {
            callers.start(Arrivals.draw(seed + 1, steady, WARM_UP_SECONDS, ALL_SLOTS));
            TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
            awaitAnswers(callers);
        }
    }

    private static void awaitAnswers(LoadCallers callers) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_MILLIS);
        while (!callers.isDone() && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        TimeUnit.SECONDS.sleep(1);
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
    }

    /** Delays what passes between workers and entries, as between availability zones. */
    private static void addLatencies(Site site) {
        site.entries().forEach(entry -> entry.grpc().relay().ifPresent(relay -> relay.delayBy((long) HOP_MILLIS)));
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
