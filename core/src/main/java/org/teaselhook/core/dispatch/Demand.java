package org.teaselhook.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Tells agents between heartbeats that tasks wait here: at once when the first one has to wait, then at intervals. Each
 * round looks at a bounded number of workers in turn, and asks no more than a few for each waiting task, first those
 * with open slots: what is asked of too many is taken from other entries in vain.
 */
final class Demand {

    private static final int FANOUT = 16;
    private static final int ASKED_PER_TASK = 2;
    private static final long INTERVAL_NANOS = 2_000_000L;
    private static final long REPEAT_NANOS = 100_000_000L;

    private final Control control;
    private final Fleet fleet;

    Demand(Control control, Fleet fleet) {
        this.control = control;
        this.fleet = fleet;
    }

    /** Tells agents what tasks wait, or that none do any more. */
    void announce(long nowNanos, ServicePool pool) {
        if (pool.queue().isEmpty()) {
            withdraw(pool);
        }
        if (!pool.usesGrants() || !pool.startAnnouncing(nowNanos, INTERVAL_NANOS)) {
            return;
        }
        int looked = Math.min(FANOUT, pool.members().size());
        List<Worker> next = new ArrayList<>(looked);
        for (int i = 0; i < looked; i++) {
            next.add(pool.nextToAnnounce().worker());
        }
        int left = ASKED_PER_TASK * pool.queue().size();
        left -= announce(nowNanos, next, left, worker -> worker.open() > 0);
        announce(nowNanos, next, left, worker -> worker.open() == 0);
    }

    /** Tells some of the workers, and returns how many. */
    private int announce(long nowNanos, List<Worker> workers, int most, Predicate<Worker> condition) {
        int told = 0;
        for (int i = 0; i < workers.size() && told < most; i++) {
            Worker worker = workers.get(i);
            told += condition.test(worker) && announce(nowNanos, worker) ? 1 : 0;
        }
        return told;
    }

    private boolean announce(long nowNanos, Worker worker) {
        int wanted = fleet.wantedSlots(nowNanos, worker);
        if (!worker.shouldAnnounce(nowNanos, wanted, REPEAT_NANOS)) {
            return false;
        }
        worker.announced(nowNanos, wanted);
        worker.members().values().forEach(member -> member.pool().asked().add(worker));
        control.output().want(worker.info().incarnation(), wanted);
        return true;
    }

    /** Takes back what agents were asked for and have not given, lest they take it from entries that need it. */
    private void withdraw(ServicePool pool) {
        for (Worker worker : pool.asked()) {
            if (worker.isAsked() && worker.wantsNothing()) {
                worker.withdrawn();
                control.output().want(worker.info().incarnation(), 0);
            }
        }
        pool.asked().clear();
    }
}
