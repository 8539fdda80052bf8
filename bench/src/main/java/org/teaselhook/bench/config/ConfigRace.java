package org.teaselhook.bench.config;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.teaselhook.bench.process.AdminClient;
import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.ProcessNode;
import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.bench.process.StoredChange;
import org.teaselhook.standin.table.TableFaults;
import org.teaselhook.standin.target.TaskListener;

/**
 * Two operators race each other with single edits and whole rules files. Meanwhile the entries are killed and restarted
 * in turn, and the table service loses responses, applies writes late and is temporarily down.
 */
final class ConfigRace {

    private static final Duration READY_TIMEOUT = Duration.ofSeconds(90);
    private static final double LOST_ANSWER_SHARE = 0.1;
    private static final double LATE_WRITE_SHARE = 0.1;
    private static final long WRITE_DELAY_MILLIS = 1_500;
    private static final TableFaults RACE_FAULTS =
            TableFaults.none().withLostAnswers(LOST_ANSWER_SHARE).withLateWrites(LATE_WRITE_SHARE, WRITE_DELAY_MILLIS);
    private static final long OUTAGE_MILLIS = 2_500;
    private static final long KILL_INTERVAL_MILLIS = 7_000;
    private static final long IN_FORCE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final long POLL_MILLIS = 100;
    private static final int MAX_CHANGES = 1_000;

    private final long seed;
    private final long seconds;
    private final Path directory;
    private final RaceHistoryChecker checker = new RaceHistoryChecker();

    ConfigRace(long seed, long seconds, Path directory) {
        this.seed = seed;
        this.seconds = seconds;
        this.directory = directory;
    }

    RaceHistoryChecker checker() {
        return checker;
    }

    /** Runs the race and returns all violations. */
    List<String> run() throws InterruptedException {
        SitePlan plan = SitePlan.standard().withProcesses(3, 3).withoutRelays();
        try (Site site = Site.start(plan, TaskListener.none(), directory)) {
            site.awaitReady(READY_TIMEOUT);
            site.table().setFaults(RACE_FAULTS);
            race(site);
            site.table().setFaults(TableFaults.none());
            TimeUnit.MILLISECONDS.sleep(2 * WRITE_DELAY_MILLIS);
            return check(site);
        }
    }

    private void race(Site site) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        Thread first = new Thread(new RacingOperator("anil", site, checker, seed, endNanos), "operator-anil");
        Thread second = new Thread(new RacingOperator("ilze", site, checker, seed + 1, endNanos), "operator-ilze");
        first.start();
        second.start();
        restartInTurn(site, endNanos);
        first.join();
        second.join();
    }

    private static void restartInTurn(Site site, long endNanos) throws InterruptedException {
        for (int i = 0; endNanos - System.nanoTime() > TimeUnit.MILLISECONDS.toNanos(KILL_INTERVAL_MILLIS); i++) {
            TimeUnit.MILLISECONDS.sleep(KILL_INTERVAL_MILLIS);
            ProcessNode process = site.entries().get(i % site.entries().size()).process();
            process.kill();
            process.start();
            if (i % 2 == 1) {
                outage(site);
            }
        }
    }

    private static void outage(Site site) throws InterruptedException {
        site.table().setFaults(RACE_FAULTS.withOutage(TableFaults.Outage.REFUSING));
        TimeUnit.MILLISECONDS.sleep(OUTAGE_MILLIS);
        site.table().setFaults(RACE_FAULTS);
    }

    private List<String> check(Site site) throws InterruptedException {
        AdminClient adminClient =
                AdminClient.of(site.client(), site.entries().get(0).http());
        List<StoredChange> stored = adminClient.history(MAX_CHANGES);
        String text = adminClient.rules().orElseThrow().text();
        List<String> violations =
                new ArrayList<>(checker.violations(stored, site.plan().rules(), text));
        long lastVersion = stored.get(stored.size() - 1).version();
        violations.addAll(awaitVersion(site, lastVersion));
        site.processes()
                .map(process -> AppliedTimes.regressions(process.log()))
                .flatMap(List::stream)
                .forEach(violations::add);
        return violations;
    }

    /** Waits for all processes to hold the version; returns a message for each that does not within the time limit. */
    private static List<String> awaitVersion(Site site, long version) throws InterruptedException {
        long endNanos = System.nanoTime() + IN_FORCE_TIMEOUT_NANOS;
        List<String> outdated = outdatedProcesses(site, version);
        while (!outdated.isEmpty() && endNanos - System.nanoTime() > 0) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            outdated = outdatedProcesses(site, version);
        }
        return outdated;
    }

    private static List<String> outdatedProcesses(Site site, long version) {
        List<String> outdatedProcesses = new ArrayList<>();
        for (EntryNode entry : site.entries()) {
            if (AdminClient.of(site.client(), entry.http()).version().orElse(-1) != version) {
                outdatedProcesses.add(entry.process().name() + " does not hold version " + version);
            }
        }
        site.agents().stream()
                .filter(agent -> AppliedTimes.read(agent.process().log())
                        .atLeast(version)
                        .isEmpty())
                .forEach(agent -> outdatedProcesses.add(agent.process().name() + " does not hold version " + version));
        return outdatedProcesses;
    }
}
