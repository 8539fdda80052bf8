package org.teaselhook.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;

import org.teaselhook.core.amount.Amounts;

/**
 * Chooses where a task runs. Answers load that comes in waves on unequal workers: a job is as late as its slowest task,
 * so quick workers go first, and among equally quick ones the emptiest, which is least likely to be full when the order
 * arrives.
 */
final class WorkerChoice {

    /** Workers whose slowness differs by less than this count as equally quick. */
    private static final double EQUALLY_QUICK = 0.2;

    /** How much emptier a worker of another zone must be, as a share of it: traffic between zones is paid for. */
    private static final double NEAR_BONUS = 0.1;

    /** A worker slower than this would miss the objective of any job, and gets work only where all are as slow. */
    private static final double TOO_SLOW = 2.2;

    private final String ownZone;

    WorkerChoice(String ownZone) {
        this.ownZone = ownZone;
    }

    /** Returns the worker for a task, or empty if none has room for it now. */
    Optional<WorkerRecord> choose(
            long nowNanos, JobTask task, Collection<WorkerRecord> workers, Predicate<String> zoneOut) {
        Optional<String> rack = task.step().preferredRack();
        String service = task.job().job().route().service();
        boolean allSlow = workers.stream().noneMatch(w -> w.serves(service) && isQuickEnough(nowNanos, w));
        return workers.stream()
                .filter(worker -> isUsable(nowNanos, task, worker) && !zoneOut.test(worker.zone()))
                .filter(worker -> allSlow || isQuickEnough(nowNanos, worker))
                .max(Comparator.comparing((WorkerRecord w) ->
                                rack.map(w.view().labels()::contains).orElse(false))
                        .thenComparing(w -> -speedClass(nowNanos, w))
                        .thenComparing(this::emptiness));
    }

    private static boolean isUsable(long nowNanos, JobTask task, WorkerRecord worker) {
        Step step = task.step();
        return worker.serves(task.job().job().route().service())
                && !worker.isAvoided(nowNanos)
                && !task.avoids(worker.agent())
                && step.amounts().fitsInto(worker.free())
                && step.requiredLabel().map(worker.view().labels()::contains).orElse(true)
                && (step.maxPerWorker() == 0 || task.job().placedOn(worker, task.stepNumber()) < step.maxPerWorker());
    }

    private static boolean isQuickEnough(long nowNanos, WorkerRecord worker) {
        return worker.slowness(nowNanos) < TOO_SLOW;
    }

    private static long speedClass(long nowNanos, WorkerRecord worker) {
        return (long) (worker.slowness(nowNanos) / EQUALLY_QUICK);
    }

    private double emptiness(WorkerRecord worker) {
        Amounts capacity = worker.view().capacity();
        double free = (double) worker.free().cpuMillis() / Math.max(1, capacity.cpuMillis());
        return worker.zone().equals(ownZone) ? free + NEAR_BONUS : free;
    }
}
