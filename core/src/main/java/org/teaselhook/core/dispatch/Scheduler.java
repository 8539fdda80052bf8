package org.teaselhook.core.dispatch;

import java.util.Optional;

import org.agrona.collections.Long2ObjectHashMap;
import org.teaselhook.core.estimate.RunTimeEstimate;
import org.teaselhook.core.placement.Candidate;
import org.teaselhook.core.placement.CandidateSet;
import org.teaselhook.core.queue.FairQueue;
import org.teaselhook.core.retry.Budget;

/**
 * Sends tasks to workers: in the order of the queue, as probes, and as hedges. Holds the orders in progress.
 */
final class Scheduler {

    private static final long ROUND_NANOS = 5_000_000L;
    private static final String OPEN_SLOT = "OPEN_SLOT";
    private static final double HEDGES_PER_TASK = 0.02;
    private static final double MOST_HEDGES_SAVED = 20;
    private static final double OPEN_REFUSALS_PER_TASK = 0.005;
    private static final double MOST_OPEN_REFUSALS_SAVED = 5;
    private static final int MOST_REFUSALS = 2;
    private static final double LATE_RATIO = 1.5;
    private static final long LATE_MARGIN_NANOS = 30_000_000L;
    private static final long UNLEARNED_LATE_NANOS = 2_000_000_000L;

    private final Control control;
    private final Fleet fleet;
    private final Demand demand;
    private final Budget hedges = Budget.of(HEDGES_PER_TASK, MOST_HEDGES_SAVED);
    private final Budget openRefusals = Budget.of(OPEN_REFUSALS_PER_TASK, MOST_OPEN_REFUSALS_SAVED);
    private final Long2ObjectHashMap<Attempt> attempts = new Long2ObjectHashMap<>();
    private final Expiry expiry;
    private long nextNumber;

    /** Gives up a task whose latest useful start has passed while it waited. */
    @FunctionalInterface
    interface Expiry {
        void expired(long nowNanos, ActiveTask task);
    }

    Scheduler(Control control, Fleet fleet, Demand demand, Expiry expiry) {
        this.control = control;
        this.fleet = fleet;
        this.demand = demand;
        this.expiry = expiry;
        this.nextNumber = control.settings().firstNumber();
    }

    // -- accessors

    int running() {
        return attempts.size();
    }

    /** Finds an order in progress at the given agent. */
    Optional<Attempt> find(Worker worker, long number) {
        return Optional.ofNullable(attempts.get(number)).filter(a -> a.member().worker() == worker);
    }

    // -- queue

    void enqueue(long nowNanos, ActiveTask task) {
        ServicePool pool = task.submission().pool();
        String customer = task.submission().submission().customer();
        int weight = control.weightOf(customer);
        task.queued(pool.queue().add(nowNanos, customer, weight, task.latestStart(), task.work(), task));
        task.wakeAt(task.latestStart());
    }

    void dequeue(ActiveTask task) {
        task.dequeued().ifPresent(item -> task.submission().pool().queue().remove(item));
    }

    void drain(long nowNanos, Worker worker) {
        worker.members().values().forEach(member -> drain(nowNanos, member.pool()));
    }

    /** Starts waiting tasks for as long as there are workers to take them. */
    void drain(long nowNanos, ServicePool pool) {
        pool.capacity(nowNanos);
        while (control.isServing() && startNext(nowNanos, pool)) {
            continue;
        }
        demand.announce(nowNanos, pool);
        if (pool.usesGrants() && !pool.queue().isEmpty()) {
            pool.nextRound(() -> control.timers().timer(now -> drain(now, pool)))
                    .set(nowNanos + ROUND_NANOS);
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
            expiry.expired(nowNanos, task);
            return true;
        }
        Optional<Member> probed = task.isClaimed() ? Optional.empty() : pool.dueForProbe(nowNanos);
        Optional<Member> member = probed.or(() -> choose(pool, task)).or(() -> chooseOpen(pool, task));
        member.ifPresent(chosen -> {
            task.dequeued().ifPresent(pool.queue()::take);
            send(nowNanos, task, chosen, probed.isPresent() ? AttemptCause.PROBE : AttemptCause.TURN);
        });
        return member.isPresent();
    }

    private Optional<Member> choose(ServicePool pool, ActiveTask task) {
        return choose(pool.ready(), task.avoided());
    }

    /**
     * Chooses a worker that would probably start the task although it has granted this entry no slot. A task that was
     * refused repeatedly waits for a grant.
     */
    private Optional<Member> chooseOpen(ServicePool pool, ActiveTask task) {
        if (task.refusals() >= MOST_REFUSALS || !openRefusals.isCovered()) {
            return Optional.empty();
        }
        return choose(pool.open(), task.avoided().map(Member::openSlots))
                .map(OpenSlots::member)
                .filter(member -> member.worker().openSince() - pool.refusedOpenAt() > 0);
    }

    /** Chooses a worker; the one that the task avoids only if there is no other. */
    private <C extends Candidate> Optional<C> choose(CandidateSet<C> candidates, Optional<C> toAvoid) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        Optional<C> avoided = toAvoid.filter(c -> candidates.size() > 1 && candidates.contains(c));
        avoided.ifPresent(candidate -> candidates.set(candidate, false));
        C chosen = control.settings().policy().choose(candidates, control.random());
        avoided.ifPresent(candidate -> candidates.set(candidate, true));
        return Optional.of(chosen);
    }

    // -- orders

    private void send(long nowNanos, ActiveTask task, Member member, AttemptCause cause) {
        Attempt attempt = new Attempt(nextNumber++, task, member, nowNanos, cause);
        check(task, member);
        count(task, cause);
        open(nowNanos, attempt);
        control.output().dispatch(orderOf(attempt));
        control.decidedOnTask(cause.decision(), reasonOf(attempt), attempt);
    }

    private String reasonOf(Attempt attempt) {
        boolean open = attempt.member().pool().usesGrants() && !attempt.isGranted();
        return open ? OPEN_SLOT : control.settings().policy().name();
    }

    private void check(ActiveTask task, Member member) {
        Object id = task.submission().submission().id();
        boolean onlyOne = task.open().isEmpty() && !task.hasRun();
        Invariant.CLAIMED_TASK_STARTED_TWICE.check(!task.isClaimed() || onlyOne, id);
        Invariant.ANSWERED_TWICE.check(!task.isDone() && !task.submission().isAnswered(), id);
        Invariant.STARTED_UNSERVED.check(control.isServing(), id);
        String zone = member.worker().info().zone();
        Invariant.STARTED_IN_ZONE_OUT.check(!control.rules().isOut(zone), zone);
    }

    private void count(ActiveTask task, AttemptCause cause) {
        control.counters().dispatches++;
        cause.count(control.counters());
        if (task.starts() == 0) {
            hedges.earn();
            openRefusals.earn();
        }
    }

    private void open(long nowNanos, Attempt attempt) {
        Member member = attempt.member();
        if (attempt.isGranted()) {
            member.worker().useGrant();
        } else {
            member.worker().useOpen();
        }
        if (attempt.cause() == AttemptCause.PROBE) {
            member.health().probeSent(nowNanos);
        }
        attempts.put(attempt.number(), attempt);
        attempt.task().opened(attempt);
        member.worker().opened(attempt);
        member.opened();
        long lateAfter = lateAfter(nowNanos, attempt);
        attempt.watch(control.timers().timer(now -> late(now, attempt)), nowNanos + lateAfter);
        fleet.refresh(nowNanos, member.worker());
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
                control.version(),
                attempt.isGranted());
    }

    /** Forgets an order; {@code ran} tells whether the task may have started under it. */
    void close(long nowNanos, Attempt attempt, boolean ran) {
        attempt.unwatch();
        attempts.remove(attempt.number());
        attempt.task().closed(attempt, ran);
        attempt.member().worker().closed(attempt);
        attempt.member().closed();
        fleet.refresh(nowNanos, attempt.member().worker());
    }

    /** Notes that an order without a grant found no slot. */
    void refusedOpen(long nowNanos, Attempt attempt) {
        openRefusals.charge();
        attempt.member().pool().refusedOpen(nowNanos);
    }

    /** Asks the agent to drop an order, whose end is still awaited. */
    void cancel(Attempt attempt) {
        attempt.unwatch();
        control.counters().cancels++;
        control.output().cancel(attempt.member().worker().info().incarnation(), attempt.number());
    }

    // -- late orders

    private static long lateAfter(long nowNanos, Attempt attempt) {
        RunTimeEstimate runTime = runTimeOf(attempt);
        long learned = (long) (LATE_RATIO * runTime.extreme()) + LATE_MARGIN_NANOS;
        return runTime.isLearned(nowNanos) ? learned : Math.max(learned, UNLEARNED_LATE_NANOS);
    }

    private static RunTimeEstimate runTimeOf(Attempt attempt) {
        return attempt.member().pool().runTime(attempt.task().request());
    }

    private void late(long nowNanos, Attempt attempt) {
        long elapsed = nowNanos - attempt.sentAt();
        long lateAfter = lateAfter(nowNanos, attempt);
        if (elapsed < lateAfter) {
            attempt.watchAgain(attempt.sentAt() + lateAfter);
            return;
        }
        if (!attempt.isLate()) {
            attempt.late();
            double ratio = (double) elapsed / runTimeOf(attempt).typical();
            fleet.observe(
                    nowNanos, attempt.member(), () -> attempt.member().health().late(nowNanos, ratio));
        }
        if (mayHedge(attempt.task()) && hedge(nowNanos, attempt)) {
            return;
        }
        attempt.watchAgain(nowNanos + elapsed);
    }

    private boolean mayHedge(ActiveTask task) {
        boolean alone = task.open().size() == 1 && !task.isQueued();
        return !task.isClaimed()
                && alone
                && control.isServing()
                && task.submission().pool().queue().isEmpty();
    }

    private boolean hedge(long nowNanos, Attempt first) {
        ActiveTask task = first.task();
        task.avoid(first.member());
        Optional<Member> member = choose(first.member().pool(), task).filter(m -> m != first.member());
        if (member.isEmpty() || !hedges.spend()) {
            return false;
        }
        send(nowNanos, task, member.get(), AttemptCause.HEDGE);
        return true;
    }
}
