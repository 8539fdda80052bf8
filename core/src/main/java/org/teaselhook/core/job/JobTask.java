package org.teaselhook.core.job;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.teaselhook.core.id.Incarnation;

/**
 * A task of a job that has not been answered yet.
 */
final class JobTask {

    private final ActiveJob job;
    private final int step;
    private final String name;
    private final Set<Incarnation> avoided = new HashSet<>();
    private Optional<Placement> placement = Optional.empty();
    private Optional<EndedOrder> lastEnd = Optional.empty();
    private int runs;
    private int failures;
    private int moves;
    private boolean done;

    JobTask(ActiveJob job, int step, int index) {
        this.job = job;
        this.step = step;
        this.name = job.job().id() + ".0." + step + "." + index;
    }

    // -- accessors

    ActiveJob job() {
        return job;
    }

    Step step() {
        return job.job().steps().get(step);
    }

    int stepNumber() {
        return step;
    }

    String name() {
        return name;
    }

    Optional<Placement> placement() {
        return placement;
    }

    int nextRun() {
        return runs + 1;
    }

    /** Returns the number of the last order's run, 0 if there was no order. */
    int lastRun() {
        return runs;
    }

    /** Returns the last order that ended or was refused. */
    Optional<EndedOrder> lastEnd() {
        return lastEnd;
    }

    int failures() {
        return failures;
    }

    int moves() {
        return moves;
    }

    boolean isDone() {
        return done;
    }

    boolean isWaiting() {
        return !done && placement.isEmpty();
    }

    boolean avoids(Incarnation agent) {
        return avoided.contains(agent);
    }

    /** Whether some workers are excluded for it by labels, limits or earlier failures. */
    boolean isConstrained() {
        return !avoided.isEmpty() || step().requiredLabel().isPresent() || step().maxPerWorker() > 0;
    }

    // -- updates

    void placed(Placement newPlacement) {
        placement = Optional.of(newPlacement);
        runs++;
        job.taskChanged();
    }

    void recordEnd(EndedOrder order) {
        lastEnd = Optional.of(order);
    }

    void released() {
        placement = Optional.empty();
        job.taskChanged();
    }

    void failed(Incarnation agent) {
        failures++;
        avoided.add(agent);
    }

    void moved() {
        moves++;
    }

    void avoid(Incarnation agent) {
        avoided.add(agent);
    }

    /** Allows all workers again, for when no other one is left. */
    void clearAvoided() {
        avoided.clear();
    }

    void done() {
        done = true;
        job.taskChanged();
    }
}
