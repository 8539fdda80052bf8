package org.teaselhook.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.teaselhook.core.amount.Amounts;

/**
 * Chooses where a task runs. Answers load that comes in waves on unequal workers: a job is as late as its slowest task,
 * so workers of the usual speed go first; among these this entry's own, which the others leave to it; of these the ones
 * that run tasks of the job already, since a job on few workers is hit by fewer slow or lost ones, and its orders and
 * ends travel together; then the emptiest, which is least likely to be full when the order arrives.
 */
final class WorkerChoice {

    /** Up to this slowness a worker is of the usual speed: objectives allow a run at least so much more. */
    private static final double USUAL = 1.45;

    /** How much emptier a worker of another zone must be, as a share of it: traffic between zones is paid for. */
    private static final double NEAR_BONUS = 0.1;

    /** A worker slower than this would miss the objective of any job, and gets work only where all are as slow. */
    private static final double TOO_SLOW = 2.2;

    private static final Comparator<Candidate> BETTER = Comparator.comparing(Candidate::isNearData)
            .thenComparing(Candidate::isUsuallyQuick)
            .thenComparing(Candidate::isHome)
            .thenComparing(Candidate::runsJob)
            .thenComparingDouble(Candidate::emptiness);

    private final String ownZone;

    WorkerChoice(String ownZone) {
        this.ownZone = ownZone;
    }

    private record Candidate(
            WorkerRecord worker,
            boolean isNearData,
            boolean isUsuallyQuick,
            boolean isHome,
            boolean runsJob,
            double emptiness) {}

    /** Returns the worker for a task, or empty if none has room for it now. */
    Optional<WorkerRecord> choose(
            long nowNanos, JobTask task, Collection<WorkerRecord> workers, Predicate<String> zoneOut) {
        String service = task.job().job().route().service();
        Set<WorkerRecord> ofJob = task.job().workers();
        Candidate best = null;
        Candidate bestQuick = null;
        boolean allSlow = true;
        for (WorkerRecord worker : workers) {
            if (!worker.serves(service)) {
                continue;
            }
            double slowness = worker.slowness(nowNanos);
            boolean quick = slowness < TOO_SLOW;
            allSlow &= !quick;
            if (isUsable(nowNanos, task, worker) && !zoneOut.test(worker.zone())) {
                Candidate candidate = candidate(task, worker, slowness, ofJob.contains(worker));
                best = better(best, candidate);
                bestQuick = quick ? better(bestQuick, candidate) : bestQuick;
            }
        }
        return Optional.ofNullable(allSlow ? best : bestQuick).map(Candidate::worker);
    }

    private static Candidate better(Candidate known, Candidate other) {
        return known == null || BETTER.compare(other, known) > 0 ? other : known;
    }

    private Candidate candidate(JobTask task, WorkerRecord worker, double slowness, boolean runsJob) {
        boolean nearData = task.step()
                .preferredRack()
                .filter(worker.view().labels()::contains)
                .isPresent();
        return new Candidate(worker, nearData, slowness < USUAL, worker.isHome(), runsJob, emptiness(worker));
    }

    private static boolean isUsable(long nowNanos, JobTask task, WorkerRecord worker) {
        Step step = task.step();
        return step.amounts().fitsInto(worker.free())
                && !worker.isAvoided(nowNanos)
                && !task.avoids(worker.agent())
                && step.requiredLabel().map(worker.view().labels()::contains).orElse(true)
                && (step.maxPerWorker() == 0 || task.job().placedOn(worker, task.stepNumber()) < step.maxPerWorker());
    }

    private double emptiness(WorkerRecord worker) {
        Amounts capacity = worker.view().capacity();
        double free = (double) worker.free().cpuMillis() / Math.max(1, capacity.cpuMillis());
        return worker.zone().equals(ownZone) ? free + NEAR_BONUS : free;
    }
}
