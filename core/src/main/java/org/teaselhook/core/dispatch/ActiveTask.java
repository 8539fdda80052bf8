package org.teaselhook.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.teaselhook.core.queue.FairQueue;

/**
 * A task of a submission in progress: it is queued at its service, waits for its backoff, or has orders in progress. A
 * retry for an unresponsive worker may be queued while an order is still in progress.
 */
final class ActiveTask {

    private final ActiveSubmission submission;
    private final int index;
    private final TaskRequest request;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private Optional<FairQueue.Item<ActiveTask>> queueItem = Optional.empty();
    private Optional<PoolMember> avoided = Optional.empty();
    private Timers.Timer timer;
    private long latestStart;
    private long expectedWork;
    private int refusals;
    private int starts;
    private boolean mayHaveRun;
    private boolean done;

    ActiveTask(ActiveSubmission submission, int index, TaskRequest request) {
        this.submission = submission;
        this.index = index;
        this.request = request;
    }

    // -- accessors

    ActiveSubmission submission() {
        return submission;
    }

    int index() {
        return index;
    }

    TaskRequest request() {
        return request;
    }

    boolean isAtMostOnce() {
        return submission.submission().atMostOnce();
    }

    boolean isDone() {
        return done;
    }

    /** Tells whether the task may have started under an order that has ended. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    boolean isQueued() {
        return queueItem.isPresent();
    }

    List<Attempt> attempts() {
        return attempts;
    }

    long latestStart() {
        return latestStart;
    }

    long expectedWork() {
        return expectedWork;
    }

    int refusals() {
        return refusals;
    }

    int starts() {
        return starts;
    }

    Optional<PoolMember> avoided() {
        return avoided;
    }

    // -- updates

    void plan(long newLatestStart, long newExpectedWork) {
        latestStart = newLatestStart;
        expectedWork = newExpectedWork;
    }

    void timer(Timers.Timer newTimer) {
        timer = newTimer;
    }

    void wakeAt(long atNanos) {
        timer.set(atNanos);
    }

    void queued(FairQueue.Item<ActiveTask> newItem) {
        queueItem = Optional.of(newItem);
    }

    Optional<FairQueue.Item<ActiveTask>> dequeued() {
        Optional<FairQueue.Item<ActiveTask>> taken = queueItem;
        queueItem = Optional.empty();
        timer.clear();
        return taken;
    }

    void avoid(PoolMember member) {
        avoided = Optional.of(member);
    }

    void countRefusal() {
        refusals++;
    }

    void attemptStarted(Attempt attempt) {
        attempts.add(attempt);
        starts++;
    }

    /** Removes an order that ended; {@code mayHaveStarted} tells whether the task may have started under it. */
    void attemptEnded(Attempt attempt, boolean mayHaveStarted) {
        attempts.remove(attempt);
        if (mayHaveStarted) {
            mayHaveRun = true;
            submission.markMayHaveRun();
        }
    }

    void markDone() {
        done = true;
    }
}
