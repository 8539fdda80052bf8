package org.teaselhook.core.dispatch;

import java.util.Optional;

import org.agrona.collections.Long2ObjectHashMap;
import org.teaselhook.core.estimate.RunTimeEstimate;
import org.teaselhook.core.placement.Candidate;
import org.teaselhook.core.placement.CandidateSet;
import org.teaselhook.core.queue.FairQueue;
import org.teaselhook.core.retry.Budget;

/**
 * Sends tasks to workers, in queue order, as probes or as hedges. Holds the orders in progress.
 */
final class Scheduler {

    private static final long DRAIN_INTERVAL_NANOS = 5_000_000L;
    private static final String OPEN_SLOT = "OPEN_SLOT";
    private static final double HEDGES_PER_TASK = 0.02;
    private static final double MAX_SAVED_HEDGES = 20;
    private static final double OPEN_REFUSALS_PER_TASK = 0.005;
    private static final double MAX_SAVED_OPEN_REFUSALS = 5;
    private static final int MAX_REFUSALS_WITHOUT_GRANT = 2;
    private static final double LATE_RATIO = 1.5;
    private static final long LATE_MARGIN_NANOS = 30_000_000L;
    private static final long MIN_UNLEARNED_LATE_NANOS = 2_000_000_000L;

    private final DispatchContext context;
    private final WorkerRegistry registry;
    private final SlotRequester slotRequester;
    private final Budget hedgeBudget = Budget.of(HEDGES_PER_TASK, MAX_SAVED_HEDGES);
    private final Budget openRefusalBudget = Budget.of(OPEN_REFUSALS_PER_TASK, MAX_SAVED_OPEN_REFUSALS);
    private final Long2ObjectHashMap<Attempt> attempts = new Long2ObjectHashMap<>();
    private final ExpiryHandler expiryHandler;
    private long nextNumber;

    /** Handles a queued task whose latest start time has passed. */
    @FunctionalInterface
    interface ExpiryHandler {
        void expired(long nowNanos, ActiveTask task);
    }

    Scheduler(
            DispatchContext context,
            WorkerRegistry registry,
            SlotRequester slotRequester,
            ExpiryHandler expiryHandler) {
        this.context = context;
        this.registry = registry;
        this.slotRequester = slotRequester;
        this.expiryHandler = expiryHandler;
        this.nextNumber = context.settings().firstNumber();
    }

    // -- accessors

    int running() {
        return attempts.size();
    }

    /** Returns an order in progress at the given worker; empty if there is none with this number. */
    Optional<Attempt> find(Worker worker, long number) {
        return Optional.ofNullable(attempts.get(number)).filter(a -> a.member().worker() == worker);
    }

    // -- queue

    void enqueue(long nowNanos, ActiveTask task) {
        ServicePool pool = task.submission().pool();
        String customer = task.submission().submission().customer();
        int weight = context.weightOf(customer);
        task.queued(pool.queue().add(nowNanos, customer, weight, task.latestStart(), task.expectedWork(), task));
        task.wakeAt(task.latestStart());
    }

    void dequeue(ActiveTask task) {
        task.dequeued().ifPresent(item -> task.submission().pool().queue().remove(item));
    }

    void drain(long nowNanos, Worker worker) {
        worker.members().values().forEach(member -> drain(nowNanos, member.pool()));
    }

    /** Starts queued tasks as long as there are workers that can take them. */
    void drain(long nowNanos, ServicePool pool) {
        pool.capacity(nowNanos);
        while (context.isServing() && startNext(nowNanos, pool)) {
            continue;
        }
        slotRequester.requestSlots(nowNanos, pool);
        if (pool.usesGrants() && !pool.queue().isEmpty()) {
            pool.drainTimer(() -> context.timers().timer(now -> drain(now, pool)))
                    .set(nowNanos + DRAIN_INTERVAL_NANOS);
        }
    }

    private boolean startNext(long nowNanos, ServicePool pool) {
        Optional<FairQueue.Item<ActiveTask>> item = pool.queue().peek();
        if (item.isEmpty()) {
            return false;
        }
        ActiveTask task = item.get().value();
        if (nowNanos > task.latestStart()) {
            dequeue(task);
            expiryHandler.expired(nowNanos, task);
            return true;
        }
        Optional<PoolMember> probed = task.isAtMostOnce() ? Optional.empty() : pool.dueForProbe(nowNanos);
        Optional<PoolMember> member = probed.or(() -> choose(pool, task)).or(() -> chooseOpenSlot(pool, task));
        member.ifPresent(chosen -> {
            task.dequeued().ifPresent(pool.queue()::take);
            send(nowNanos, task, chosen, probed.isPresent() ? AttemptCause.PROBE : AttemptCause.TURN);
        });
        return member.isPresent();
    }

    private Optional<PoolMember> choose(ServicePool pool, ActiveTask task) {
        return choose(pool.ready(), task.avoided());
    }

    /**
     * Chooses a worker that would probably start the task although this entry holds no grant there. A task that was
     * refused repeatedly waits for a grant.
     */
    private Optional<PoolMember> chooseOpenSlot(ServicePool pool, ActiveTask task) {
        if (task.refusals() >= MAX_REFUSALS_WITHOUT_GRANT || !openRefusalBudget.isCovered()) {
            return Optional.empty();
        }
        return choose(pool.openSlots(), task.avoided().map(PoolMember::openSlots))
                .map(OpenSlots::member)
                .filter(member -> member.worker().openSlotsReportedAt() - pool.openSlotRefusedAt() > 0);
    }

    /** Chooses a worker; the worker to avoid is chosen only if there is no other. */
    private <C extends Candidate> Optional<C> choose(CandidateSet<C> candidates, Optional<C> toAvoid) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        Optional<C> avoided = toAvoid.filter(c -> candidates.size() > 1 && candidates.contains(c));
        avoided.ifPresent(candidate -> candidates.set(candidate, false));
        C chosen = context.settings().policy().choose(candidates, context.random());
        avoided.ifPresent(candidate -> candidates.set(candidate, true));
        return Optional.of(chosen);
    }

    // -- orders

    private void send(long nowNanos, ActiveTask task, PoolMember member, AttemptCause cause) {
        Attempt attempt = new Attempt(nextNumber++, task, member, nowNanos, cause);
        checkInvariants(task, member);
        countAttempt(task, cause);
        startAttempt(nowNanos, attempt);
        context.output().dispatch(orderOf(attempt));
        context.recordTaskDecision(cause.decision(), reasonOf(attempt), attempt);
    }

    private String reasonOf(Attempt attempt) {
        boolean open = attempt.member().pool().usesGrants() && !attempt.isGranted();
        return open ? OPEN_SLOT : context.settings().policy().name();
    }

    private void checkInvariants(ActiveTask task, PoolMember member) {
        Object id = task.submission().submission().id();
        boolean isOnlyStart = task.attempts().isEmpty() && !task.mayHaveRun();
        Invariant.CLAIMED_TASK_STARTED_TWICE.check(!task.isAtMostOnce() || isOnlyStart, id);
        Invariant.ANSWERED_TWICE.check(!task.isDone() && !task.submission().isAnswered(), id);
        Invariant.STARTED_UNSERVED.check(context.isServing(), id);
        String zone = member.worker().info().zone();
        Invariant.STARTED_IN_ZONE_OUT.check(!context.rules().isZoneOut(zone), zone);
    }

    private void countAttempt(ActiveTask task, AttemptCause cause) {
        context.counters().dispatches++;
        cause.count(context.counters());
        if (task.starts() == 0) {
            hedgeBudget.earn();
            openRefusalBudget.earn();
        }
    }

    private void startAttempt(long nowNanos, Attempt attempt) {
        PoolMember member = attempt.member();
        if (attempt.isGranted()) {
            member.worker().useGrant();
        } else {
            member.worker().useOpenSlot();
        }
        if (attempt.cause() == AttemptCause.PROBE) {
            member.health().recordProbeSent(nowNanos);
        }
        attempts.put(attempt.number(), attempt);
        attempt.task().attemptStarted(attempt);
        member.worker().attemptStarted(attempt);
        member.attemptStarted();
        long lateAfter = lateAfter(nowNanos, attempt);
        attempt.startLateTimer(context.timers().timer(now -> checkLateness(now, attempt)), nowNanos + lateAfter);
        registry.refresh(nowNanos, member.worker());
    }

    private DispatchOrder orderOf(Attempt attempt) {
        ActiveTask task = attempt.task();
        Submission submission = task.submission().submission();
        return new DispatchOrder(
                attempt.number(),
                attempt.member().worker().info().incarnation(),
                submission.id(),
                task.index(),
                submission.service(),
                submission.customer(),
                task.request(),
                task.latestStart(),
                submission.deadline(),
                context.version(),
                attempt.isGranted());
    }

    /** Removes an order that ended; {@code mayHaveRun} tells whether the task may have started under it. */
    void endAttempt(long nowNanos, Attempt attempt, boolean mayHaveRun) {
        attempt.clearLateTimer();
        attempts.remove(attempt.number());
        attempt.task().attemptEnded(attempt, mayHaveRun);
        attempt.member().worker().attemptEnded(attempt);
        attempt.member().attemptEnded();
        registry.refresh(nowNanos, attempt.member().worker());
    }

    /** Records that an order without a grant was refused for lack of a slot. */
    void openSlotRefused(long nowNanos, Attempt attempt) {
        openRefusalBudget.charge();
        attempt.member().pool().openSlotRefused(nowNanos);
    }

    /** Asks the agent to cancel an order, which stays in progress until its end is reported. */
    void cancel(Attempt attempt) {
        attempt.clearLateTimer();
        context.counters().cancels++;
        context.output().cancel(attempt.member().worker().info().incarnation(), attempt.number());
    }

    // -- late orders

    private static long lateAfter(long nowNanos, Attempt attempt) {
        RunTimeEstimate runTime = runTimeOf(attempt);
        long learned = (long) (LATE_RATIO * runTime.p99()) + LATE_MARGIN_NANOS;
        return runTime.isLearned(nowNanos) ? learned : Math.max(learned, MIN_UNLEARNED_LATE_NANOS);
    }

    private static RunTimeEstimate runTimeOf(Attempt attempt) {
        return attempt.member().pool().runTime(attempt.task().request());
    }

    private void checkLateness(long nowNanos, Attempt attempt) {
        long elapsed = nowNanos - attempt.sentAt();
        long lateAfter = lateAfter(nowNanos, attempt);
        if (elapsed < lateAfter) {
            attempt.resetLateTimer(attempt.sentAt() + lateAfter);
            return;
        }
        if (!attempt.isLate()) {
            attempt.markLate();
            double ratio = (double) elapsed / runTimeOf(attempt).median();
            registry.observe(
                    nowNanos, attempt.member(), () -> attempt.member().health().recordOverdue(nowNanos, ratio));
        }
        if (mayHedge(attempt.task()) && hedge(nowNanos, attempt)) {
            return;
        }
        attempt.resetLateTimer(nowNanos + elapsed);
    }

    private boolean mayHedge(ActiveTask task) {
        boolean hasSingleAttempt = task.attempts().size() == 1 && !task.isQueued();
        return !task.isAtMostOnce()
                && hasSingleAttempt
                && context.isServing()
                && task.submission().pool().queue().isEmpty();
    }

    private boolean hedge(long nowNanos, Attempt first) {
        ActiveTask task = first.task();
        task.avoid(first.member());
        Optional<PoolMember> member = choose(first.member().pool(), task).filter(m -> m != first.member());
        if (member.isEmpty() || !hedgeBudget.spend()) {
            return false;
        }
        send(nowNanos, task, member.get(), AttemptCause.HEDGE);
        return true;
    }
}
