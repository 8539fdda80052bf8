package org.teaselhook.core.job;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.teaselhook.core.amount.ResourceAmounts;

/**
 * Chooses the worker for a task, for bursty load on unequal workers, by these criteria in turn: being near the data;
 * normal speed, as a job is as late as its slowest task; being preferred by this entry, as other entries leave such
 * workers to it; running tasks of the job already, since a job on few workers is affected by fewer slow or lost ones
 * and its messages travel together; and the most free capacity, which makes it least likely that the worker is full
 * when the order arrives.
 */
final class WorkerChoice {

    /** The slowness below which a worker counts as of normal speed: objectives allow a run at least this factor. */
    private static final double MAX_NORMAL_SLOWNESS = 1.45;

    /** The share of free capacity that a worker of another zone must have in addition: traffic between zones costs. */
    private static final double SAME_ZONE_BONUS = 0.1;

    /** A worker this slow would miss the objective of any job, and gets work only if all workers are as slow. */
    private static final double EXCLUDED_SLOWNESS = 2.2;

    private final String ownZone;

    WorkerChoice(String ownZone) {
        this.ownZone = ownZone;
    }

    private record Candidate(
            WorkerRecord worker,
            boolean isNearData,
            boolean hasNormalSpeed,
            boolean isPreferred,
            boolean runsJob,
            double freeShare) {

        /** Compares by the criteria in turn, without a comparator, as each task is compared for every worker. */
        boolean isBetterThan(Candidate other) {
            if (isNearData != other.isNearData) {
                return isNearData;
            }
            if (hasNormalSpeed != other.hasNormalSpeed) {
                return hasNormalSpeed;
            }
            if (isPreferred != other.isPreferred) {
                return isPreferred;
            }
            if (runsJob != other.runsJob) {
                return runsJob;
            }
            return freeShare > other.freeShare;
        }
    }

    /** Returns the worker for a task, or empty if no suitable one has room for it now. */
    Optional<WorkerRecord> choose(
            long nowNanos, JobTask task, Collection<WorkerRecord> workers, Predicate<String> zoneOut) {
        String service = task.job().job().route().service();
        Set<WorkerRecord> workersOfJob = task.job().workers();
        Candidate best = null;
        Candidate bestFastEnough = null;
        boolean allSlow = true;
        for (WorkerRecord worker : workers) {
            if (!worker.serves(service)) {
                continue;
            }
            double slowness = worker.slowness(nowNanos);
            boolean fastEnough = slowness < EXCLUDED_SLOWNESS;
            allSlow &= !fastEnough;
            if (isUsable(nowNanos, task, worker) && !zoneOut.test(worker.zone())) {
                Candidate candidate = candidate(task, worker, slowness, workersOfJob.contains(worker));
                best = better(best, candidate);
                bestFastEnough = fastEnough ? better(bestFastEnough, candidate) : bestFastEnough;
            }
        }
        return Optional.ofNullable(allSlow ? best : bestFastEnough).map(Candidate::worker);
    }

    private static Candidate better(Candidate known, Candidate other) {
        return known == null || other.isBetterThan(known) ? other : known;
    }

    private Candidate candidate(JobTask task, WorkerRecord worker, double slowness, boolean runsJob) {
        boolean nearData = task.step()
                .preferredRack()
                .filter(worker.view().labels()::contains)
                .isPresent();
        return new Candidate(
                worker, nearData, slowness < MAX_NORMAL_SLOWNESS, worker.isPreferred(), runsJob, freeShare(worker));
    }

    private static boolean isUsable(long nowNanos, JobTask task, WorkerRecord worker) {
        Step step = task.step();
        return step.amounts().fitsInto(worker.free())
                && !worker.isAvoided(nowNanos)
                && !task.avoids(worker.agent())
                && step.requiredLabel().map(worker.view().labels()::contains).orElse(true)
                && (step.maxPerWorker() == 0
                        || task.job().countPlacedOn(worker, task.stepNumber()) < step.maxPerWorker());
    }

    private double freeShare(WorkerRecord worker) {
        ResourceAmounts capacity = worker.view().capacity();
        double free = (double) worker.free().cpuMillis() / Math.max(1, capacity.cpuMillis());
        return worker.zone().equals(ownZone) ? free + SAME_ZONE_BONUS : free;
    }
}
