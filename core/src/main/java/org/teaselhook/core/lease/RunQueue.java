package org.teaselhook.core.lease;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.teaselhook.core.amount.Amounts;
import org.teaselhook.core.id.Incarnation;

/**
 * The orders that wait for room on the worker. Answers load that fills the fleet: entries order by views that are some
 * milliseconds old, and half of their orders find that another entry was faster. Refused, a task is ordered again by a
 * view that is as old, and its job waits with the rest of its tasks at work. So the first that come too early wait for
 * the next ends, as many as these will probably make room for; the rest are refused at once. Confined to one thread.
 */
public final class RunQueue {

    /** How long an order waits, in ns: a fraction of a sub-second task, and shorter than an entry's way round. */
    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    /** The part of a worker that may be waited for, as its inverse: what ends in that time with tasks of 250 ms. */
    private static final int WORKER_PER_WAITING = 6;

    private final WorkerRuns runs;
    private final RunEvents events;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private Amounts waitingAmounts = Amounts.NONE;
    private boolean roomChanged;

    private record Waiting(RunRequest request, long since) {

        long until() {
            return since + MAX_WAIT_NANOS;
        }
    }

    private RunQueue(WorkerRuns runs, RunEvents events) {
        this.runs = Objects.requireNonNull(runs, "runs is null");
        this.events = Objects.requireNonNull(events, "events is null");
    }

    // -- factories

    /**
     * Returns a queue in which nothing waits.
     *
     * @param runs the runs on the worker
     * @param events told of the orders that waited in vain
     * @return a new queue
     */
    public static RunQueue of(WorkerRuns runs, RunEvents events) {
        return new RunQueue(runs, events);
    }

    // -- accessors

    /**
     * Returns what runs use, and what waits will use.
     *
     * @return the sum; it may exceed what the worker has
     */
    public Amounts used() {
        return runs.used().plus(waitingAmounts);
    }

    /**
     * Tells whether an order is still to be answered with an end or a refusal.
     *
     * @param order the order
     * @return true if so
     */
    public boolean holds(OrderId order) {
        return runs.holds(order)
                || waiting.stream().anyMatch(w -> w.request().order().equals(order));
    }

    /**
     * Returns when {@link #tick} has something to do next.
     *
     * @return an instant, at once if room has changed, or {@link Long#MAX_VALUE} if nothing waits
     */
    public long nextTickAt() {
        if (waiting.isEmpty()) {
            return Long.MAX_VALUE;
        }
        Waiting first = waiting.getFirst();
        return roomChanged ? first.since() : first.until();
    }

    // -- orders

    /**
     * Takes an order, which starts now, waits, or is refused.
     *
     * @param nowNanos the present time
     * @param request the order
     * @return true if it waits
     */
    public boolean order(long nowNanos, RunRequest request) {
        drop(w -> w.request().run().task().equals(request.run().task()), RunRefusal.CANCELLED);
        boolean mustWait = !waiting.isEmpty() || !runs.hasRoom(request.amounts());
        if (mustWait && mayWait(request)) {
            waiting.add(new Waiting(request, nowNanos));
            waitingAmounts = waitingAmounts.plus(request.amounts());
            return true;
        }
        if (mustWait && runs.hasRoom(request.amounts())) {
            // What is free is meant for those that came before.
            events.refused(request, RunRefusal.NO_ROOM);
        } else {
            runs.order(nowNanos, request);
        }
        return false;
    }

    private boolean mayWait(RunRequest request) {
        Amounts after = waitingAmounts.plus(request.amounts());
        return runs.open()
                .filter(worker -> worker.service().equals(request.service()))
                .filter(worker -> after.cpuMillis() <= worker.capacity().cpuMillis() / WORKER_PER_WAITING)
                .isPresent();
    }

    /**
     * Stops the run of an order, or takes it out of the queue.
     *
     * @param nowNanos the present time
     * @param order the order
     */
    public void stop(long nowNanos, OrderId order) {
        drop(w -> w.request().order().equals(order), RunRefusal.CANCELLED);
        runs.stop(nowNanos, order);
    }

    /**
     * Stops every run of an entry, which may be gone, and forgets its orders.
     *
     * @param nowNanos the present time
     * @param entry the run of the entry
     * @return the number of orders that were not being stopped already
     */
    public int stopAll(long nowNanos, Incarnation entry) {
        int dropped = drop(w -> w.request().order().entry().equals(entry), RunRefusal.CANCELLED);
        return dropped + runs.stopAll(nowNanos, entry);
    }

    private int drop(Predicate<Waiting> which, RunRefusal refusal) {
        List<Waiting> dropped = waiting.stream().filter(which).toList();
        dropped.forEach(w -> {
            remove(w);
            events.refused(w.request(), refusal);
        });
        return dropped.size();
    }

    private void remove(Waiting over) {
        waiting.remove(over);
        waitingAmounts = waitingAmounts.minus(over.request().amounts());
    }

    // -- time

    /** Notes that what is free, or the worker itself, has changed. */
    public void roomChanged() {
        roomChanged = true;
    }

    /**
     * Starts what there is room for by now, and refuses what has waited for too long.
     *
     * @param nowNanos the present time
     */
    public void tick(long nowNanos) {
        roomChanged = false;
        for (Waiting next : List.copyOf(waiting)) {
            if (runs.open().isPresent() && !runs.hasRoom(next.request().amounts())) {
                break;
            }
            remove(next);
            runs.order(nowNanos, next.request());
        }
        drop(w -> nowNanos - w.until() >= 0, RunRefusal.NO_ROOM);
    }
}
