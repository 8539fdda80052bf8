package org.teaselhook.core.dispatch;

import org.teaselhook.core.health.WorkerHealth;
import org.teaselhook.core.placement.Candidate;

/**
 * A worker's membership in the pool of one service.
 */
final class PoolMember extends Candidate {

    /** At least one slot in two must be open; with fewer, another entry is too likely to take them first. */
    private static final int OPEN_SLOTS_DIVISOR = 2;

    private final Worker worker;
    private final ServicePool pool;
    private final WorkerHealth health;
    private final OpenSlots openSlots = new OpenSlots(this);
    private int running;
    private int position;

    PoolMember(Worker worker, ServicePool pool) {
        this.worker = worker;
        this.pool = pool;
        this.health = WorkerHealth.join(pool.peers(), worker.info().slots());
    }

    // -- accessors

    Worker worker() {
        return worker;
    }

    ServicePool pool() {
        return pool;
    }

    WorkerHealth health() {
        return health;
    }

    int running() {
        return running;
    }

    @Override
    public int freeSlots() {
        return pool.usesGrants() ? worker.grants() : worker.info().slots() - worker.running();
    }

    @Override
    public boolean isInSameZone() {
        return worker.isInSameZone();
    }

    /** Tells whether an order could be sent now, if only a probe. */
    boolean hasSlot(long nowNanos) {
        return worker.isUsable(nowNanos) && freeSlots() > 0;
    }

    boolean isReady(long nowNanos) {
        return hasSlot(nowNanos) && health.accepts(running);
    }

    OpenSlots openSlots() {
        return openSlots;
    }

    /** Tells whether an order without a grant would probably start now. */
    boolean hasOpenSlots(long nowNanos) {
        boolean open = worker.openSlots() * OPEN_SLOTS_DIVISOR >= worker.info().slots();
        return open && pool.usesGrants() && worker.isUsable(nowNanos) && health.accepts(running);
    }

    /** Returns the index in the pool's list of members. */
    int position() {
        return position;
    }

    // -- updates

    void position(int newPosition) {
        position = newPosition;
    }

    void attemptStarted() {
        running++;
        pool.attemptStarted();
    }

    void attemptEnded() {
        running--;
        pool.attemptEnded();
    }
}
