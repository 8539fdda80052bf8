package org.teaselhook.core.dispatch;

/**
 * Tells agents between heartbeats that tasks wait here: at once when the first one has to wait, then at intervals. Each
 * round looks at a bounded number of workers in turn.
 */
final class Demand {

    private static final int FANOUT = 16;
    private static final long INTERVAL_NANOS = 2_000_000L;
    private static final long REPEAT_NANOS = 100_000_000L;

    private final Control control;
    private final Fleet fleet;

    Demand(Control control, Fleet fleet) {
        this.control = control;
        this.fleet = fleet;
    }

    void announce(long nowNanos, ServicePool pool) {
        if (!pool.usesGrants() || !pool.startAnnouncing(nowNanos, INTERVAL_NANOS)) {
            return;
        }
        int looked = Math.min(FANOUT, pool.members().size());
        for (int i = 0; i < looked; i++) {
            announce(nowNanos, pool.nextToAnnounce().worker());
        }
    }

    private void announce(long nowNanos, Worker worker) {
        int wanted = fleet.wantedSlots(nowNanos, worker);
        if (worker.shouldAnnounce(nowNanos, wanted, REPEAT_NANOS)) {
            worker.announced(nowNanos, wanted);
            control.output().want(worker.info().incarnation(), wanted);
        }
    }
}
