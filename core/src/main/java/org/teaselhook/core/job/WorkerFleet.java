package org.teaselhook.core.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.lease.LeaseTimes;

/**
 * The workers known to this entry, and its orders in progress at each.
 */
final class WorkerFleet {

    /** Time without a report from an agent after which all its runs for this entry have certainly ended, in ns. */
    private static final long CERTAIN_END_NANOS =
            LeaseTimes.latestExpiry(TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_TIMEOUT_MILLIS + 100));

    /** The expected time until the first worker opens for a new entry, in ns, when all VMs start at once. */
    private static final long FIRST_WORKER_NANOS = TimeUnit.MILLISECONDS.toNanos(650);

    /** The time after which no agent is expected to connect to a new entry any more, in ns: VMs start unevenly. */
    private static final long LATEST_AGENT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** The time until the worker of a connected agent opens, in ns: two calls to it, on a VM that is still starting. */
    private static final long OPENING_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time without a newly opened worker after which the fleet of a new entry counts as complete, in ns. */
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** How long after its start an entry may wait for more workers at most, in ns. */
    private static final long MAX_FORMING_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Map<Incarnation, WorkerRecord> workers = new HashMap<>();
    private final Map<Long, Placement> placements = new HashMap<>();
    private final Map<String, Placement> byTask = new HashMap<>();
    private final String self;
    private Collection<String> entries;
    private final long startedAt;
    private long lastNumber;
    private long lateCpuMillis;
    private boolean anyWorkerOpened;
    private long lastConnectedAt;
    private long lastOpenedAt;

    WorkerFleet(String self, long startedAt) {
        this.self = self;
        this.startedAt = startedAt;
        this.entries = List.of(self);
    }

    // -- accessors

    Collection<WorkerRecord> all() {
        return workers.values();
    }

    Optional<WorkerRecord> find(Incarnation agent) {
        return Optional.ofNullable(workers.get(agent));
    }

    Optional<Placement> find(long order) {
        return Optional.ofNullable(placements.get(order));
    }

    /** Returns the free CPU of all workers of a service, in thousandths of a core. */
    long freeCpuMillis(String service) {
        return workers.values().stream()
                .filter(worker -> worker.serves(service))
                .mapToLong(worker -> Math.max(0, worker.free().cpuMillis()))
                .sum();
    }

    /** Returns the CPU of the orders in progress for late jobs, in thousandths of a core. */
    long lateCpuMillis() {
        return lateCpuMillis;
    }

    /** Whether an order for a task of this name is in progress, possibly from an earlier copy of its job. */
    boolean isPlaced(String task) {
        return byTask.containsKey(task);
    }

    /** Whether the task has failed or was too slow on every worker of its service. */
    boolean isAvoidedEverywhere(JobTask task) {
        String service = task.job().job().route().service();
        return workers.values().stream().filter(w -> w.serves(service)).allMatch(w -> task.avoids(w.agent()));
    }

    /**
     * Whether more workers are likely to open soon, as this entry has just started and one has just opened or the first
     * is still awaited. What is free on the first workers then says little of how long jobs will wait.
     */
    boolean isForming(long nowNanos) {
        return anyWorkerOpened
                ? nowNanos - startedAt < MAX_FORMING_NANOS && nowNanos - lastOpenedAt < SETTLE_NANOS
                : isAwaitingFirstWorker(nowNanos);
    }

    /** Whether no worker has opened since this entry started, but one is expected to. */
    boolean isAwaitingFirstWorker(long nowNanos) {
        boolean agentExpected = nowNanos - startedAt < LATEST_AGENT_NANOS;
        boolean opening = !workers.isEmpty() && nowNanos - lastConnectedAt < OPENING_NANOS;
        return !anyWorkerOpened && (agentExpected || opening);
    }

    /** Returns the expected time until the first worker opens; zero if that may happen at any moment. */
    long nanosUntilFirstWorker(long nowNanos) {
        return Math.max(0, startedAt + FIRST_WORKER_NANOS - nowNanos);
    }

    int openCount() {
        return Math.toIntExact(workers.values().stream()
                .filter(worker -> worker.serves(worker.view().service()))
                .count());
    }

    /** Returns the disconnected workers whose runs for this entry have certainly ended. */
    List<WorkerRecord> certainlyEnded(long nowNanos) {
        return workers.values().stream()
                .filter(w -> !w.isConnected() && nowNanos - w.lastReportAt() > CERTAIN_END_NANOS)
                .toList();
    }

    // -- updates

    WorkerRecord connect(long nowNanos, Incarnation agent, String name, String zone) {
        WorkerRecord worker = workers.computeIfAbsent(agent, ignored -> new WorkerRecord(agent, name, zone));
        worker.connected(nowNanos);
        lastConnectedAt = nowNanos;
        assignPreferredWorkers();
        return worker;
    }

    /** Sets the live entries, which include this one. */
    void updateEntries(Collection<String> names) {
        entries = names;
        assignPreferredWorkers();
    }

    private void assignPreferredWorkers() {
        List<String> names = workers.values().stream().map(WorkerRecord::name).toList();
        Set<String> preferred = PreferredWorkers.of(self, entries, names);
        workers.values().forEach(worker -> worker.preferred(preferred.contains(worker.name())));
    }

    /** Records that a worker has begun to accept work. */
    void workerOpened(long nowNanos) {
        anyWorkerOpened = true;
        lastOpenedAt = nowNanos;
    }

    void remove(WorkerRecord worker) {
        workers.remove(worker.agent());
        assignPreferredWorkers();
    }

    Placement place(long nowNanos, JobTask task, WorkerRecord worker, double expectedMillis) {
        lastNumber++;
        Placement placement = new Placement(lastNumber, task, worker, nowNanos, expectedMillis);
        task.placed(placement);
        worker.placed(placement);
        placements.put(lastNumber, placement);
        byTask.put(task.name(), placement);
        lateCpuMillis += lateCpuMillis(placement);
        return placement;
    }

    void release(Placement placement) {
        placements.remove(placement.number());
        byTask.remove(placement.task().name());
        lateCpuMillis -= lateCpuMillis(placement);
        placement.worker().removed(placement);
        placement.task().released();
    }

    /** Returns the CPU of an order for a late job, 0 for others. A job that has started does not become late. */
    private static long lateCpuMillis(Placement placement) {
        return placement.task().job().isLate() ? placement.amounts().cpuMillis() : 0;
    }
}
