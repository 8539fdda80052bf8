package org.teaselhook.core.dispatch;

import org.teaselhook.core.health.WorkerHealth;
import org.teaselhook.core.placement.Candidate;

/**
 * A worker's part in one service.
 */
final class Member extends Candidate {

    /** With a smaller part of the slots open another entry is too likely to be faster. */
    private static final int LEAST_OPEN_PART = 2;

    private final Worker worker;
    private final ServicePool pool;
    private final WorkerHealth health;
    private final OpenSlots openSlots = new OpenSlots(this);
    private int running;
    private int position;

    Member(Worker worker, ServicePool pool) {
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
    public int free() {
        return pool.usesGrants() ? worker.grants() : worker.info().slots() - worker.running();
    }

    @Override
    public boolean near() {
        return worker.near();
    }

    /** Tells whether an order, a probe if nothing else, could be sent now. */
    boolean hasSlot(long nowNanos) {
        return worker.isUsable(nowNanos) && free() > 0;
    }

    boolean isReady(long nowNanos) {
        return hasSlot(nowNanos) && health.accepts(running);
    }

    OpenSlots openSlots() {
        return openSlots;
    }

    /** Tells whether an order without a grant would probably start now. */
    boolean isOpen(long nowNanos) {
        boolean open = worker.open() * LEAST_OPEN_PART >= worker.info().slots();
        return open && pool.usesGrants() && worker.isUsable(nowNanos) && health.accepts(running);
    }

    /** Returns its place in the pool's list of members. */
    int position() {
        return position;
    }

    // -- updates

    void position(int newPosition) {
        position = newPosition;
    }

    void opened() {
        running++;
        pool.opened();
    }

    void closed() {
        running--;
        pool.closed();
    }
}
