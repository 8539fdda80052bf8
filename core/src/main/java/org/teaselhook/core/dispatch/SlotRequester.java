package org.teaselhook.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Requests slots from agents between heartbeats: immediately when the first task is queued, then at intervals. Each
 * round examines a bounded number of workers in turn and requests slots from a few per queued task, workers with open
 * slots first. Requests to more workers would take slots from other entries without being used.
 */
final class SlotRequester {

    private static final int FANOUT = 16;
    private static final int REQUESTS_PER_TASK = 2;
    private static final long INTERVAL_NANOS = 2_000_000L;
    private static final long REPEAT_NANOS = 100_000_000L;

    private final DispatchContext context;
    private final WorkerRegistry registry;

    SlotRequester(DispatchContext context, WorkerRegistry registry) {
        this.context = context;
        this.registry = registry;
    }

    /** Requests slots for the queued tasks, or withdraws the requests when none is queued. */
    void requestSlots(long nowNanos, ServicePool pool) {
        if (pool.queue().isEmpty()) {
            withdrawRequests(pool);
        }
        if (!pool.usesGrants() || !pool.startRequestRound(nowNanos, INTERVAL_NANOS)) {
            return;
        }
        int examined = Math.min(FANOUT, pool.members().size());
        List<Worker> candidates = new ArrayList<>(examined);
        for (int i = 0; i < examined; i++) {
            candidates.add(pool.nextMemberToRequest().worker());
        }
        int remaining = REQUESTS_PER_TASK * pool.queue().size();
        remaining -= requestSlots(nowNanos, candidates, remaining, worker -> worker.openSlots() > 0);
        requestSlots(nowNanos, candidates, remaining, worker -> worker.openSlots() == 0);
    }

    /** Requests slots from workers that meet the condition, and returns from how many. */
    private int requestSlots(long nowNanos, List<Worker> workers, int limit, Predicate<Worker> condition) {
        int requested = 0;
        for (int i = 0; i < workers.size() && requested < limit; i++) {
            Worker worker = workers.get(i);
            requested += condition.test(worker) && requestSlots(nowNanos, worker) ? 1 : 0;
        }
        return requested;
    }

    private boolean requestSlots(long nowNanos, Worker worker) {
        int wanted = registry.wantedSlots(nowNanos, worker);
        if (!worker.shouldRequest(nowNanos, wanted, REPEAT_NANOS)) {
            return false;
        }
        worker.slotsRequested(nowNanos, wanted);
        worker.members()
                .values()
                .forEach(member -> member.pool().requestedWorkers().add(worker));
        context.output().requestSlots(worker.info().incarnation(), wanted);
        return true;
    }

    /** Withdraws requests that were not granted, so that agents don't reclaim slots from entries that need them. */
    private void withdrawRequests(ServicePool pool) {
        for (Worker worker : pool.requestedWorkers()) {
            if (worker.hasPendingRequest() && worker.hasNoQueuedTasks()) {
                worker.requestWithdrawn();
                context.output().requestSlots(worker.info().incarnation(), 0);
            }
        }
        pool.requestedWorkers().clear();
    }
}
