package org.teaselhook.bench.config;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.KeptChange;
import org.teaselhook.bench.process.Operators;
import org.teaselhook.bench.process.ProcessNode;
import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.standin.table.TableFaults;
import org.teaselhook.standin.target.TaskListener;

/**
 * Two operators race each other, with single edits and whole rules files, through entries that are killed and started
 * again in turn, over a table service that loses answers, lets writes take effect late and is out at times.
 */
final class ConfigRace {

    private static final Duration READY_WAIT = Duration.ofSeconds(90);
    private static final double LOST_SHARE = 0.1;
    private static final double LATE_SHARE = 0.1;
    private static final long LATE_MILLIS = 1_500;
    private static final TableFaults RACED =
            TableFaults.none().withLostAnswers(LOST_SHARE).withLateWrites(LATE_SHARE, LATE_MILLIS);
    private static final long OUTAGE_MILLIS = 2_500;
    private static final long KILL_INTERVAL_MILLIS = 7_000;
    private static final long IN_FORCE_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final long POLL_MILLIS = 100;
    private static final int MAX_HISTORY = 1_000;

    private final long seed;
    private final long seconds;
    private final Path directory;
    private final RaceLedger ledger = new RaceLedger();

    ConfigRace(long seed, long seconds, Path directory) {
        this.seed = seed;
        this.seconds = seconds;
        this.directory = directory;
    }

    RaceLedger ledger() {
        return ledger;
    }

    /** Runs the race and returns every violation. */
    List<String> run() throws InterruptedException {
        SitePlan plan = SitePlan.standard().withProcesses(3, 3).withoutRelays();
        try (Site site = Site.start(plan, TaskListener.none(), directory)) {
            site.awaitReady(READY_WAIT);
            site.table().faults(RACED);
            race(site);
            site.table().faults(TableFaults.none());
            TimeUnit.MILLISECONDS.sleep(2 * LATE_MILLIS);
            return check(site);
        }
    }

    private void race(Site site) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        Thread first = new Thread(new RacingOperator("anil", site, ledger, seed, endNanos), "operator-anil");
        Thread second = new Thread(new RacingOperator("ilze", site, ledger, seed + 1, endNanos), "operator-ilze");
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
        site.table().faults(RACED.withOutage(TableFaults.Outage.REFUSING));
        TimeUnit.MILLISECONDS.sleep(OUTAGE_MILLIS);
        site.table().faults(RACED);
    }

    private List<String> check(Site site) throws InterruptedException {
        Operators operators = Operators.of(site.client(), site.entries().get(0).http());
        List<KeptChange> kept = operators.history(MAX_HISTORY);
        String text = operators.rules().orElseThrow().text();
        List<String> found = new ArrayList<>(ledger.violations(kept, site.plan().rules(), text));
        long last = kept.get(kept.size() - 1).version();
        found.addAll(late(site, last));
        site.processes()
                .map(process -> AppliedTimes.falls(process.log()))
                .flatMap(List::stream)
                .forEach(found::add);
        return found;
    }

    /** Names the processes that do not hold the last version in time. */
    private static List<String> late(Site site, long version) throws InterruptedException {
        long endNanos = System.nanoTime() + IN_FORCE_NANOS;
        List<String> late = lacking(site, version);
        while (!late.isEmpty() && endNanos - System.nanoTime() > 0) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            late = lacking(site, version);
        }
        return late;
    }

    private static List<String> lacking(Site site, long version) {
        List<String> lacking = new ArrayList<>();
        for (EntryNode entry : site.entries()) {
            if (Operators.of(site.client(), entry.http()).version().orElse(-1) != version) {
                lacking.add(entry.process().name() + " does not hold version " + version);
            }
        }
        site.agents().stream()
                .filter(agent -> AppliedTimes.read(agent.process().log())
                        .atLeast(version)
                        .isEmpty())
                .forEach(agent -> lacking.add(agent.process().name() + " does not hold version " + version));
        return lacking;
    }
}
