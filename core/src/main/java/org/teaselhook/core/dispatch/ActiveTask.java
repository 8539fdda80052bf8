package org.teaselhook.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.teaselhook.core.queue.FairQueue;

/**
 * A task of a submission that is not answered yet: it waits in its service's queue, waits for its next try, or has
 * orders in progress; a retry after silence may wait while an order is still in progress.
 */
final class ActiveTask {

    private final ActiveSubmission submission;
    private final int index;
    private final TaskRequest request;
    private final List<Attempt> open = new ArrayList<>(1);
    private Optional<FairQueue.Item<ActiveTask>> item = Optional.empty();
    private Optional<Member> avoided = Optional.empty();
    private Timers.Timer timer;
    private long latestStart;
    private long work;
    private int refusals;
    private int starts;
    private boolean ran;
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

    boolean isClaimed() {
        return submission.submission().claimed();
    }

    boolean isDone() {
        return done;
    }

    /** Tells whether the task may have started under an order that has ended. */
    boolean hasRun() {
        return ran;
    }

    boolean isQueued() {
        return item.isPresent();
    }

    List<Attempt> open() {
        return open;
    }

    long latestStart() {
        return latestStart;
    }

    long work() {
        return work;
    }

    int refusals() {
        return refusals;
    }

    int starts() {
        return starts;
    }

    Optional<Member> avoided() {
        return avoided;
    }

    // -- updates

    void plan(long newLatestStart, long newWork) {
        latestStart = newLatestStart;
        work = newWork;
    }

    void timer(Timers.Timer newTimer) {
        timer = newTimer;
    }

    void wakeAt(long atNanos) {
        timer.set(atNanos);
    }

    void queued(FairQueue.Item<ActiveTask> newItem) {
        item = Optional.of(newItem);
    }

    Optional<FairQueue.Item<ActiveTask>> dequeued() {
        Optional<FairQueue.Item<ActiveTask>> taken = item;
        item = Optional.empty();
        timer.clear();
        return taken;
    }

    void avoid(Member member) {
        avoided = Optional.of(member);
    }

    void refused() {
        refusals++;
    }

    void opened(Attempt attempt) {
        open.add(attempt);
        starts++;
    }

    /** Forgets an order that ended; {@code ranUnder} tells whether the task may have started under it. */
    void closed(Attempt attempt, boolean ranUnder) {
        open.remove(attempt);
        if (ranUnder) {
            ran = true;
            submission.ran();
        }
    }

    void done() {
        done = true;
    }
}
