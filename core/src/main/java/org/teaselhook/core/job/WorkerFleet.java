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
 * The workers that this entry knows, and its orders in progress at each.
 */
final class WorkerFleet {

    /** After so long without word from an agent, all that it ran for this entry is over, in ns. */
    private static final long SURELY_OVER_NANOS =
            LeaseTimes.certainEnd(TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_SILENCE_MILLIS + 100));

    private final Map<Incarnation, WorkerRecord> workers = new HashMap<>();
    private final Map<Long, Placement> placements = new HashMap<>();
    private final Map<String, Placement> byTask = new HashMap<>();
    private final String self;
    private Collection<String> entries;
    private long lastNumber;
    private boolean opened;

    WorkerFleet(String self) {
        this.self = self;
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

    /** Returns the processor time that is free on all workers of a service, in thousandths of a core. */
    long freeCpuMillis(String service) {
        return workers.values().stream()
                .filter(worker -> worker.serves(service))
                .mapToLong(worker -> Math.max(0, worker.free().cpuMillis()))
                .sum();
    }

    /** Whether an order for a task of this name is in progress, perhaps of an earlier copy of its job. */
    boolean isPlaced(String task) {
        return byTask.containsKey(task);
    }

    /** Whether the task has failed or been late on every worker that could run it. */
    boolean isAvoidedEverywhere(JobTask task) {
        String service = task.job().job().route().service();
        return workers.values().stream().filter(w -> w.serves(service)).allMatch(w -> task.avoids(w.agent()));
    }

    /**
     * Whether this entry has just started, and its agents are only connecting: a job that can wait may still be served.
     */
    boolean isForming() {
        return !opened;
    }

    int open() {
        return Math.toIntExact(workers.values().stream()
                .filter(worker -> worker.serves(worker.view().service()))
                .count());
    }

    /** Returns the agents whose runs for this entry are over because nothing was heard of them for long enough. */
    List<WorkerRecord> surelyOver(long nowNanos) {
        return workers.values().stream()
                .filter(w -> !w.isConnected() && nowNanos - w.heardAt() > SURELY_OVER_NANOS)
                .toList();
    }

    /** Returns earlier runs of the same agent, which are over since the present one has opened its worker. */
    List<WorkerRecord> earlierRuns(WorkerRecord current) {
        return workers.values().stream()
                .filter(w -> w != current && !w.isConnected() && w.name().equals(current.name()))
                .toList();
    }

    // -- updates

    void connect(long nowNanos, Incarnation agent, String name, String zone) {
        workers.computeIfAbsent(agent, ignored -> new WorkerRecord(agent, name, zone))
                .connected(nowNanos);
        shareOut();
    }

    /** Notes which entries are live, this one among them. */
    void entries(Collection<String> names) {
        entries = names;
        shareOut();
    }

    private void shareOut() {
        List<String> names = workers.values().stream().map(WorkerRecord::name).toList();
        Set<String> homes = HomeWorkers.of(self, entries, names);
        workers.values().forEach(worker -> worker.home(homes.contains(worker.name())));
    }

    /** Notes that a worker takes work. */
    void opened() {
        opened = true;
    }

    void remove(WorkerRecord worker) {
        workers.remove(worker.agent());
        shareOut();
    }

    Placement place(long nowNanos, JobTask task, WorkerRecord worker, double expectedMillis) {
        lastNumber++;
        Placement placement = new Placement(lastNumber, task, worker, nowNanos, expectedMillis);
        task.placed(placement);
        worker.placed(placement);
        placements.put(lastNumber, placement);
        byTask.put(task.name(), placement);
        return placement;
    }

    void release(Placement placement) {
        placements.remove(placement.number());
        byTask.remove(placement.task().name());
        placement.worker().removed(placement);
        placement.task().released();
    }
}
