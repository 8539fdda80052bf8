package org.teaselhook.core.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A weighted fair queue among customers that orders the elements of each customer by the latest useful start. Fairness
 * rests on virtual time: a customer's virtual time advances by the work taken divided by its weight, and the customer
 * with the least virtual time comes next. Adding, taking and removing take O(log n).
 *
 * <pre>{@code
 * FairQueue.Item<String> item = queue.add(now, "kalnins", 1, latestStart, workNanos, "task");
 * Optional<FairQueue.Item<String>> next = queue.peek();
 * queue.take(next.get());
 * }</pre>
 *
 * @param <T> the type of the elements
 */
public final class FairQueue<T> {

    /**
     * An element's place in the queue.
     *
     * @param <T> the type of the element
     */
    public static final class Item<T> {
        private final Lane<T> lane;
        private final long work;
        private final T value;
        private int slice;
        private KeyedHeap.Handle<Item<T>> handle;

        private Item(Lane<T> lane, long work, T value) {
            this.lane = lane;
            this.work = work;
            this.value = value;
        }

        /**
         * Returns the element.
         *
         * @return the element
         */
        public T value() {
            return value;
        }
    }

    /** The elements of one customer. */
    private static final class Lane<T> {
        private final KeyedHeap<Item<T>> items = KeyedHeap.empty();
        private final WorkByTime work = new WorkByTime();
        private int weight = 1;
        private long virtualTime;
        private KeyedHeap.Handle<Lane<T>> active;
    }

    /** The maximum number of lanes kept for reuse while the queue is empty; each takes about 8 KiB. */
    private static final int MAX_IDLE_LANES = 256;

    private final Map<String, Lane<T>> lanes = new HashMap<>();
    private final KeyedHeap<Lane<T>> active = KeyedHeap.empty();
    private long virtualTime;
    private long latestVirtualTime;
    private long totalWork;
    private long activeWeight;
    private int size;

    private FairQueue() {}

    // -- factories

    /**
     * Returns an empty queue.
     *
     * @param <T> the type of the elements
     * @return the queue
     */
    public static <T> FairQueue<T> empty() {
        return new FairQueue<>();
    }

    // -- accessors

    /**
     * Returns the number of elements.
     *
     * @return the number, from 0
     */
    public int size() {
        return size;
    }

    /**
     * Tells whether there is no element.
     *
     * @return true if empty
     */
    public boolean isEmpty() {
        return size == 0;
    }

    /**
     * Returns the work of all elements.
     *
     * @return the work, in nanoseconds of one slot
     */
    public long totalWork() {
        return totalWork;
    }

    /**
     * Finds the next element.
     *
     * @return the element, or empty if there is none
     */
    public Optional<Item<T>> peek() {
        return active.peek().flatMap(lane -> lane.value().items.peek()).map(KeyedHeap.Handle::value);
    }

    /**
     * Estimates the work that will be taken before a new element of a customer: the customer's own work that is due no
     * later, plus the work that the other customers are entitled to meanwhile, or all their work if that is less.
     *
     * @param nowNanos the present time
     * @param customer the customer
     * @param weight the customer's weight
     * @param latestStart the new element's latest useful start
     * @return the work, in nanoseconds of one slot
     */
    public long workAhead(long nowNanos, String customer, int weight, long latestStart) {
        Lane<T> lane = lanes.get(customer);
        boolean hasWork = lane != null && !lane.items.isEmpty();
        long own = hasWork ? lane.work.upTo(nowNanos, latestStart) : 0;
        long others = totalWork - (hasWork ? lane.work.total() : 0);
        long otherWeight = activeWeight - (hasWork ? lane.weight : 0);
        return own + Math.min(others, own / weight * otherWeight);
    }

    // -- updates

    /**
     * Adds an element.
     *
     * @param nowNanos the present time
     * @param customer the customer
     * @param weight the customer's weight, at least 1
     * @param latestStart the latest useful start
     * @param work the expected run time, in nanoseconds
     * @param value the element
     * @return the item for {@link #take} and {@link #remove}
     */
    public Item<T> add(long nowNanos, String customer, int weight, long latestStart, long work, T value) {
        Lane<T> lane = lanes.computeIfAbsent(customer, name -> new Lane<>());
        Item<T> item = new Item<>(lane, work, value);
        item.handle = lane.items.add(latestStart, item);
        item.slice = lane.work.add(nowNanos, latestStart, work);
        totalWork += work;
        size++;
        activate(lane, weight);
        return item;
    }

    /**
     * Takes an element for execution, charging its work to its customer. Does nothing if it is no longer in the queue.
     *
     * @param item the item, usually that of {@link #peek}
     * @return true if it was in the queue
     */
    public boolean take(Item<T> item) {
        Lane<T> lane = item.lane;
        if (!unlink(item)) {
            return false;
        }
        virtualTime = Math.max(virtualTime, lane.virtualTime);
        deactivate(lane);
        lane.virtualTime += item.work / lane.weight;
        latestVirtualTime = Math.max(latestVirtualTime, lane.virtualTime);
        updateActivity(lane);
        return true;
    }

    /**
     * Removes an element that will not be executed.
     *
     * @param item the item
     * @return true if it was in the queue
     */
    public boolean remove(Item<T> item) {
        if (!unlink(item)) {
            return false;
        }
        if (item.lane.items.isEmpty()) {
            deactivate(item.lane);
        }
        updateActivity(item.lane);
        return true;
    }

    // -- lanes

    private boolean unlink(Item<T> item) {
        if (!item.lane.items.remove(item.handle)) {
            return false;
        }
        item.lane.work.subtract(item.slice, item.work);
        totalWork -= item.work;
        size--;
        return true;
    }

    private void activate(Lane<T> lane, int weight) {
        if (lane.active != null && lane.weight == weight) {
            return;
        }
        deactivate(lane);
        lane.weight = weight;
        lane.virtualTime = Math.max(lane.virtualTime, virtualTime);
        reactivate(lane);
    }

    private void reactivate(Lane<T> lane) {
        lane.active = active.add(lane.virtualTime, lane);
        activeWeight += lane.weight;
    }

    private void deactivate(Lane<T> lane) {
        if (lane.active == null) {
            return;
        }
        active.remove(lane.active);
        lane.active = null;
        activeWeight -= lane.weight;
    }

    private void updateActivity(Lane<T> lane) {
        if (!lane.items.isEmpty() && lane.active == null) {
            reactivate(lane);
        }
        if (size == 0) {
            resetShares();
        }
    }

    /** Clears the differences in virtual time, so that no customer is ahead of another once the queue was empty. */
    private void resetShares() {
        virtualTime = latestVirtualTime;
        if (lanes.size() > MAX_IDLE_LANES) {
            lanes.clear();
        }
    }
}
