package org.teaselhook.core.lease;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.teaselhook.core.amount.ResourceAmounts;
import org.teaselhook.core.id.Incarnation;

/**
 * A short queue of orders that wait for free capacity on the worker. When the fleet is full, entries place orders by
 * views of the workers that are some milliseconds old, and half of the orders find that another entry has taken the
 * capacity. A refused task would be ordered again by a view that is as old, while its job waits for it with the other
 * tasks in progress. Therefore as many orders wait as the next ending runs will probably free capacity for; the others
 * are refused immediately. Confined to one thread.
 */
public final class RunQueue {

    /** The longest wait of an order, in ns: a fraction of a sub-second task; a new order elsewhere takes longer. */
    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    /** Waiting orders may use 1/6 of the capacity: about what runs of 250 ms free within the longest wait. */
    private static final int WAITING_CAPACITY_DIVISOR = 6;

    private final WorkerRuns runs;
    private final RunListener listener;
    private final Deque<WaitingOrder> waiting = new ArrayDeque<>();
    private ResourceAmounts waitingAmounts = ResourceAmounts.NONE;
    private boolean capacityChanged;

    private record WaitingOrder(RunRequest request, long enqueuedAt) {

        long deadline() {
            return enqueuedAt + MAX_WAIT_NANOS;
        }
    }

    private RunQueue(WorkerRuns runs, RunListener listener) {
        this.runs = Objects.requireNonNull(runs, "runs is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
    }

    // -- factories

    /**
     * Returns an empty queue.
     *
     * @param runs the runs on the worker
     * @param listener receives the refusals of waiting orders
     * @return a new queue
     */
    public static RunQueue of(WorkerRuns runs, RunListener listener) {
        return new RunQueue(runs, listener);
    }

    // -- accessors

    /**
     * Returns the resources that the runs use and the waiting orders will use.
     *
     * @return the sum, which may exceed the worker's capacity
     */
    public ResourceAmounts used() {
        return runs.used().plus(waitingAmounts);
    }

    /**
     * Tells whether an order is pending: neither its end nor its refusal has been reported.
     *
     * @param order the order
     * @return true if it is pending
     */
    public boolean isPending(OrderId order) {
        return runs.isPending(order)
                || waiting.stream().anyMatch(w -> w.request().order().equals(order));
    }

    /**
     * Returns when {@link #tick} is due next.
     *
     * @return the due time, not later than now if capacity has changed; {@link Long#MAX_VALUE} if no order waits
     */
    public long nextTickAt() {
        if (waiting.isEmpty()) {
            return Long.MAX_VALUE;
        }
        WaitingOrder first = waiting.getFirst();
        return capacityChanged ? first.enqueuedAt() : first.deadline();
    }

    // -- orders

    /**
     * Accepts an order, which is started, queued or refused.
     *
     * @param nowNanos the present time
     * @param request the requested run
     * @return true if the order waits in the queue
     */
    public boolean order(long nowNanos, RunRequest request) {
        refuseWaiting(w -> w.request().run().task().equals(request.run().task()), RunRefusal.CANCELLED);
        boolean mustWait = !waiting.isEmpty() || !runs.hasCapacityFor(request.amounts());
        if (mustWait && canWait(request)) {
            waiting.add(new WaitingOrder(request, nowNanos));
            waitingAmounts = waitingAmounts.plus(request.amounts());
            return true;
        }
        if (mustWait && runs.hasCapacityFor(request.amounts())) {
            // The free capacity is reserved for the orders that wait already.
            listener.refused(request, RunRefusal.NO_ROOM, EndReport.notCalled(request));
        } else {
            runs.order(nowNanos, request);
        }
        return false;
    }

    private boolean canWait(RunRequest request) {
        ResourceAmounts after = waitingAmounts.plus(request.amounts());
        return runs.availableWorker()
                .filter(worker -> worker.service().equals(request.service()))
                .filter(worker -> after.cpuMillis() <= worker.capacity().cpuMillis() / WAITING_CAPACITY_DIVISOR)
                .isPresent();
    }

    /**
     * Stops the run of an order, or removes the order from the queue.
     *
     * @param nowNanos the present time
     * @param order the order
     */
    public void stop(long nowNanos, OrderId order) {
        refuseWaiting(w -> w.request().order().equals(order), RunRefusal.CANCELLED);
        runs.stop(nowNanos, order);
    }

    /**
     * Stops every run of an entry that may have terminated, and removes its orders from the queue.
     *
     * @param timedOutAt when the entry timed out, in nanoseconds
     * @param entry the incarnation of the entry
     * @return the number of orders that were not being stopped before
     */
    public int stopAll(long timedOutAt, Incarnation entry) {
        return stopAll(timedOutAt, order -> order.entry().equals(entry));
    }

    /**
     * Stops every run of an entry that the entry no longer counts as in progress, and removes such orders from the
     * queue. An entry that has reconnected may have released orders whose runs it took for ended.
     *
     * @param nowNanos the present time
     * @param entry the incarnation of the entry
     * @param inProgress the numbers of the orders that the entry counts as in progress
     * @return the number of orders that were not being stopped before
     */
    public int stopReleased(long nowNanos, Incarnation entry, Collection<Long> inProgress) {
        Set<Long> kept = Set.copyOf(inProgress);
        return stopAll(nowNanos, order -> order.entry().equals(entry) && !kept.contains(order.number()));
    }

    private int stopAll(long withdrawnAt, Predicate<OrderId> orders) {
        int refused = refuseWaiting(w -> orders.test(w.request().order()), RunRefusal.CANCELLED);
        return refused + runs.stopAll(withdrawnAt, orders);
    }

    private int refuseWaiting(Predicate<WaitingOrder> filter, RunRefusal refusal) {
        List<WaitingOrder> refused = waiting.stream().filter(filter).toList();
        refused.forEach(w -> {
            remove(w);
            listener.refused(w.request(), refusal, EndReport.notCalled(w.request()));
        });
        return refused.size();
    }

    private void remove(WaitingOrder order) {
        waiting.remove(order);
        waitingAmounts = waitingAmounts.minus(order.request().amounts());
    }

    // -- changes and time

    /** Notes that the worker's free capacity or its state has changed. */
    public void freeCapacityChanged() {
        capacityChanged = true;
    }

    /**
     * Refuses the orders that have waited too long, and starts those of the others that fit into the free capacity.
     *
     * @param nowNanos the present time
     */
    public void tick(long nowNanos) {
        capacityChanged = false;
        refuseWaiting(w -> nowNanos - w.deadline() >= 0, RunRefusal.NO_ROOM);
        for (WaitingOrder next : List.copyOf(waiting)) {
            if (runs.availableWorker().isPresent()
                    && !runs.hasCapacityFor(next.request().amounts())) {
                break;
            }
            remove(next);
            runs.order(nowNanos, next.request());
        }
    }
}
