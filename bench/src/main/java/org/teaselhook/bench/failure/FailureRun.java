package org.teaselhook.bench.failure;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import org.teaselhook.bench.history.History;
import org.teaselhook.bench.history.HistoryChecker;
import org.teaselhook.bench.history.HistoryLimits;
import org.teaselhook.bench.history.HistoryRecorder;
import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.net.log.LogLine;

/** A fault-injection run: callers, faults and operators act on a site concurrently; then its history is checked. */
final class FailureRun {

    private static final Duration READY_WAIT = Duration.ofSeconds(60);
    private static final long MAX_FAULT_FREE_MILLIS = 6_000;
    private static final long MAX_DRAIN_MILLIS = 40_000;
    private static final long CALL_TIMEOUT_MILLIS = 4_000;
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long LATE_START_WAIT_MILLIS = 1_000;
    private static final int FAULT_FREE_DIVISOR = 5;

    private final long seed;
    private final long millis;
    private final double perSecond;
    private final Path directory;
    private final HistoryRecorder recorder = HistoryRecorder.of(System::nanoTime);
    private final Downtimes downtimes = new Downtimes();
    private final List<Thread> threads = new ArrayList<>();
    private final Queue<Throwable> failures = new ConcurrentLinkedQueue<>();

    FailureRun(long seed, Duration duration, double perSecond, Path directory) {
        this.seed = seed;
        this.millis = duration.toMillis();
        this.perSecond = perSecond;
        this.directory = directory;
    }

    /** Runs to the end. The last fifth of the run, at most {@link #MAX_FAULT_FREE_MILLIS}, is without faults. */
    FailureReport run() throws InterruptedException {
        try (Site site = Site.start(SitePlan.standard(), new RecordingListener(recorder), directory)) {
            site.awaitReady(READY_WAIT);
            site.agents().forEach(agent -> agent.target().behaveAs(FaultActions.NORMAL_BEHAVIOUR));
            Balancer balancer = new Balancer(site.entries(), site.client());
            Callers callers = new Callers(site, balancer, recorder, CALL_TIMEOUT_MILLIS);
            Observer observer = new Observer(site, recorder);
            List<Thread> observers = watch(site, observer, balancer);
            long startNanos = recorder.nowNanos();
            startFaultsAndOperators(site, startNanos);
            submitAll(callers, startNanos);
            drain(callers);
            observers.forEach(Thread::interrupt);
            observer.readChanges();
            observer.readLogs();
            failIfIncomplete();
            return report(site);
        } finally {
            threads.forEach(Thread::interrupt);
        }
    }

    private FailureReport report(Site site) {
        History history = recorder.history();
        return new FailureReport(
                seed, history, HistoryChecker.of(HistoryLimits.standard()).check(history), downtimes, (int)
                        site.processes().count());
    }

    // -- callers

    private void submitAll(Callers callers, long startNanos) throws InterruptedException {
        SubmissionPlan plan = SubmissionPlan.draw(seed, SitePlan.standard().entries(), perSecond);
        for (PlannedSubmission next = plan.next(); next.atMillis() < millis; next = plan.next()) {
            sleepUntil(startNanos, next.atMillis());
            callers.submit(next);
        }
    }

    private void drain(Callers callers) throws InterruptedException {
        long deadlineNanos = recorder.nowNanos() + TimeUnit.MILLISECONDS.toNanos(MAX_DRAIN_MILLIS);
        for (Thread thread : threads) {
            thread.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - recorder.nowNanos())));
        }
        while (callers.inFlight() > 0 && recorder.nowNanos() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        TimeUnit.MILLISECONDS.sleep(LATE_START_WAIT_MILLIS);
    }

    // -- faults

    private void startFaultsAndOperators(Site site, long startNanos) {
        long faultMillis = millis - Math.min(MAX_FAULT_FREE_MILLIS, millis / FAULT_FREE_DIVISOR);
        FailurePlan plan = FailurePlan.draw(seed, SitePlan.standard(), faultMillis);
        FaultActions actions = new FaultActions(site, recorder, downtimes);
        ZoneOperator operator = new ZoneOperator(site, recorder);
        plan.faults()
                .forEach(sequence -> threads.add(start(() -> {
                    for (PlannedFault fault : sequence) {
                        inject(actions, fault, startNanos);
                    }
                })));
        plan.zoneChanges()
                .forEach(sequence -> threads.add(start(() -> {
                    for (PlannedZoneChange change : sequence) {
                        sleepUntil(startNanos, change.atMillis());
                        operator.change(change);
                    }
                })));
    }

    private static void inject(FaultActions actions, PlannedFault fault, long startNanos) throws InterruptedException {
        sleepUntil(startNanos, fault.beginMillis());
        log("fault-begins", fault);
        fault.kind().begin(actions, fault);
        try {
            sleepUntil(startNanos, fault.endMillis());
        } finally {
            fault.kind().end(actions, fault);
            log("fault-ended", fault);
        }
    }

    private static void log(String event, PlannedFault fault) {
        LogLine.of(event)
                .with("kind", fault.kind())
                .with("subjects", String.join(",", fault.subjects()))
                .with("variant", fault.variant())
                .with("nanos", System.nanoTime())
                .info();
    }

    // -- threads

    private List<Thread> watch(Site site, Observer observer, Balancer balancer) {
        List<Thread> observers = new ArrayList<>();
        for (int i = 0; i < site.entries().size(); i++) {
            int index = i;
            observers.add(start(() -> observer.watch(site.entries().get(index))));
            observers.add(start(() -> balancer.watch(index)));
        }
        site.agents().forEach(agent -> observers.add(start(() -> observer.watch(agent))));
        return observers;
    }

    private Thread start(InterruptibleTask task) {
        Thread thread = new Thread(() -> runInterruptibly(task));
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void runInterruptibly(InterruptibleTask task) {
        try {
            task.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error e) {
            failures.add(e);
        }
    }

    /** Rejects a run in which a fault, operator or observer thread failed: its history may be incomplete. */
    private void failIfIncomplete() {
        if (!failures.isEmpty()) {
            IllegalStateException incomplete = new IllegalStateException("the run is incomplete; run it again");
            failures.forEach(incomplete::addSuppressed);
            throw incomplete;
        }
    }

    private static void sleepUntil(long startNanos, long atMillis) throws InterruptedException {
        long waitNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(atMillis) - System.nanoTime();
        if (waitNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(waitNanos);
        }
    }

    /** The body of a thread, which may end by interruption. */
    private interface InterruptibleTask {
        void run() throws InterruptedException;
    }
}
