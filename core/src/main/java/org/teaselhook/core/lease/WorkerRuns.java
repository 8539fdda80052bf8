package org.teaselhook.core.lease;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.teaselhook.core.amount.ResourceAmounts;
import org.teaselhook.core.id.Incarnation;

/**
 * The runs on the one worker of an agent. Confined to the control thread.
 *
 * <p>The resources of a run count as used from its start call until the worker lists its end, or until it certainly
 * cannot begin any more. A start call without an answer may take effect seconds later; such a run is stopped by its id,
 * which also prevents it from beginning. With a new incarnation of the worker or of this agent, orders are accepted
 * only after a poll with a higher fencing token, which makes the worker ignore all older calls, and after orphans have
 * ended: runs on the worker that this agent did not start, which it stops.
 */
public final class WorkerRuns {

    /** The maximum number of start calls per order, each with a higher run number: jobs are resent only a few times. */
    private static final int MAX_START_CALLS = 4;

    private final FencedCalls calls;
    private final RunListener listener;
    private final LeaseLog log;
    private final KnownWorker worker = new KnownWorker();
    private final RunTable runs = new RunTable();
    private final RunResults results;
    private final RunStops stops;
    private final Orphans orphans;
    private final RunNumbers numbers = new RunNumbers();
    private final Lease lease = new Lease();
    private long acknowledged;
    private long pollDueAt = Long.MAX_VALUE;

    private WorkerRuns(FencedCalls calls, RunListener listener, LeaseLog log) {
        this.calls = calls;
        this.listener = Objects.requireNonNull(listener, "listener is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.results = new RunResults(runs, listener);
        this.stops = new RunStops(calls, worker, runs, log, this::fenced, this::availabilityChanged);
        this.orphans = new Orphans(calls, log);
    }

    // -- factories

    /**
     * Returns the initial state, in which no worker is known.
     *
     * @param firstToken the first fencing token, which exceeds those of earlier agents if their clocks were right
     * @param calls the calls to the worker
     * @param control handles the results of the calls on the control thread
     * @param listener receives the results of orders
     * @param log logs changes of the worker's state
     * @return a new state
     */
    public static WorkerRuns of(
            long firstToken, WorkerCalls calls, ControlThread control, RunListener listener, LeaseLog log) {
        return new WorkerRuns(new FencedCalls(firstToken, calls, control), listener, log);
    }

    // -- accessors

    /**
     * Returns the worker if it is available for new runs.
     *
     * @return its last report, or empty if it is unknown, unresponsive, draining, has orphans or does not stop runs
     */
    public Optional<WorkerReport> availableWorker() {
        return worker.current()
                .filter(w -> lease.isHeld() && orphans.isEmpty() && !runs.hasOverdueStop() && !w.draining());
    }

    /**
     * Returns the resources used by runs that have not certainly ended.
     *
     * @return the sum
     */
    public ResourceAmounts used() {
        return runs.used();
    }

    /** Whether a run that uses the given resources could start now. */
    boolean hasCapacityFor(ResourceAmounts amounts) {
        return availableWorker()
                .filter(w -> amounts.fitsInto(w.capacity().minus(runs.used())))
                .isPresent();
    }

    /**
     * Tells whether an order is pending: neither its end nor its refusal has been reported.
     *
     * @param order the order
     * @return true if it is pending
     */
    public boolean isPending(OrderId order) {
        return runs.find(order).isPresent();
    }

    /**
     * Counts the runs that have not certainly ended.
     *
     * @return the number
     */
    public int size() {
        return runs.size();
    }

    /**
     * Returns when {@link #tick} is due next.
     *
     * @return the due time, or {@link Long#MAX_VALUE} if there is nothing to retry
     */
    public long nextTickAt() {
        return Math.min(pollDueAt, runs.nextCallDueAt());
    }

    /**
     * Returns how much longer runs take than estimated, by the progress of the present runs.
     *
     * @return the ratio of forecast to estimate, 1 if estimates are right; empty if too few runs have a forecast
     */
    public OptionalDouble slowdown() {
        return WorkerSlowdown.of(runs.all());
    }

    /**
     * Returns the forecasts of an entry's runs, from their progress.
     *
     * @param entry the incarnation of the entry
     * @return the forecasts by order number
     */
    public Map<Long, RunForecast> forecasts(Incarnation entry) {
        return runs.forecasts(entry);
    }

    // -- worker reports

    /**
     * Processes a report. Late reports of the known incarnation of the worker are ignored. A report of any other
     * incarnation ends nothing by itself: it takes effect when the known incarnation has certainly ended.
     *
     * @param nowNanos the present time
     * @param report the report
     */
    public void workerReported(long nowNanos, WorkerReport report) {
        Optional<WorkerReport> known = worker.current();
        if (known.isEmpty()) {
            beginIncarnation(nowNanos, report);
        } else if (!report.isSameIncarnation(known.get())) {
            otherIncarnationReported(nowNanos, report);
        } else if (report.sequence() <= known.get().sequence()) {
            log.lateReport(report);
        } else {
            worker.update(report);
            if (!report.offersSame(known.get())) {
                log.workerChanged(report);
                listener.workerChanged();
            }
        }
    }

    /** Keeps the report, and polls a worker that does not answer again without delay. */
    private void otherIncarnationReported(long nowNanos, WorkerReport report) {
        log.otherIncarnationReported(report);
        worker.keepAside(nowNanos, report);
        if (pollDueAt != Long.MAX_VALUE) {
            pollDueAt = nowNanos;
        }
    }

    /**
     * Processes a worker's announcement that it ends. It may be that of an earlier incarnation with the same id, or
     * come before the end, so that runs in progress end only by further evidence.
     *
     * @param nowNanos the present time
     * @param workerId the id of the worker
     */
    public void workerLeft(long nowNanos, String workerId) {
        if (worker.left(workerId)) {
            log.workerLeft(workerId);
            if (lease.isHeld() && runs.size() == 0 && orphans.isEmpty()) {
                endWorker(nowNanos);
                worker.successor().ifPresent(next -> beginIncarnation(nowNanos, next));
            } else {
                lease.unseal(nowNanos);
                listener.workerChanged();
            }
        }
    }

    private void endWorker(long nowNanos) {
        worker.end();
        endIncarnation(nowNanos);
        runs.all().forEach(run -> results.workerLeft(nowNanos, run));
    }

    private void beginIncarnation(long nowNanos, WorkerReport report) {
        log.workerStarted(report, runs.size());
        worker.begin(report);
        endIncarnation(nowNanos);
        poll(nowNanos);
    }

    /**
     * Ends an incarnation of the worker, and with it the runs there. A start call may still reach the next incarnation,
     * until that has accepted a call with the higher token.
     */
    private void endIncarnation(long nowNanos) {
        calls.beginIncarnation();
        acknowledged = 0;
        pollDueAt = Long.MAX_VALUE;
        lease.reset(nowNanos);
        orphans.clear();
        runs.all().forEach(run -> run.incarnationEnded(nowNanos));
        listener.workerChanged();
    }

    // -- orders

    /**
     * Accepts an order, which results in exactly one call of {@link RunListener#ended} or {@link RunListener#refused}.
     *
     * @param nowNanos the present time
     * @param request the requested run
     */
    public void order(long nowNanos, RunRequest request) {
        Optional<RunRefusal> refusal = refusal(nowNanos, request);
        if (refusal.isPresent()) {
            listener.refused(request, refusal.get(), EndReport.notCalled(request));
            return;
        }
        Run run = new Run(request, numbers.next(request.run()), nowNanos);
        runs.add(run);
        callStart(nowNanos, run, run.id());
    }

    private Optional<RunRefusal> refusal(long nowNanos, RunRequest request) {
        Optional<WorkerReport> ready = availableWorker().filter(w -> w.service().equals(request.service()));
        if (ready.isEmpty()) {
            return Optional.of(RunRefusal.NO_WORKER);
        }
        if (nowNanos - request.startBy() > 0) {
            return Optional.of(RunRefusal.START_BY_PASSED);
        }
        // Earlier runs of a task that is ordered again have to end first.
        List<Run> earlier = runs.all(run -> run.id().task().equals(request.run().task()));
        earlier.forEach(run -> stops.withdraw(nowNanos, run));
        boolean fits = earlier.isEmpty() && hasCapacityFor(request.amounts());
        return fits ? Optional.empty() : Optional.of(RunRefusal.NO_ROOM);
    }

    private void callStart(long nowNanos, Run run, RunId id) {
        runs.renumber(run, id);
        numbers.markUsed(id);
        long until = lease.renewForStart(leaseRenewalTime(nowNanos));
        calls.start(worker.current().orElseThrow(), id, run.request(), until, (now, result) -> {
            if (runs.contains(id, run) && run.state() == Run.State.STARTING) {
                started(now, run, result);
            }
        });
    }

    private void started(long nowNanos, Run run, StartResult result) {
        log.startAnswered(run.request().order(), run.id(), result);
        switch (result) {
            case STARTED -> {
                run.markBegun(nowNanos);
                stops.callIfRequested(nowNanos, run);
            }
            case OLD_RUN -> retryStart(nowNanos, run);
            case UNKNOWN -> stops.call(nowNanos, run);
            case FENCED -> {
                results.refused(run, result);
                fenced(nowNanos);
            }
            default -> results.refused(run, result);
        }
    }

    /**
     * Returns the time from which the lease may last for its full duration. The lease is not extended beside a
     * withdrawn run that may go on, so that the run ends with it even if the worker does not answer stop calls.
     */
    private long leaseRenewalTime(long nowNanos) {
        return Math.min(nowNanos, runs.firstUnsettledWithdrawalAt());
    }

    private void retryStart(long nowNanos, Run run) {
        if (run.isStopRequested() || run.startCalls() >= MAX_START_CALLS) {
            results.refused(run, StartResult.OLD_RUN);
        } else if (nowNanos - run.request().startBy() > 0) {
            results.refused(run, StartResult.OLD_RUN, RunRefusal.START_BY_PASSED);
        } else if (availableWorker().isEmpty()) {
            results.refused(run, StartResult.OLD_RUN, RunRefusal.NO_WORKER);
        } else {
            callStart(nowNanos, run, run.id().next());
        }
    }

    private void fenced(long nowNanos) {
        lease.unseal(nowNanos);
        log.fenced(calls.raiseToken());
        listener.workerChanged();
    }

    // -- stops

    /**
     * Stops the run of an order. Its end or refusal is reported later.
     *
     * @param nowNanos the present time
     * @param order the order
     */
    public void stop(long nowNanos, OrderId order) {
        runs.find(order).ifPresent(run -> stops.withdraw(nowNanos, run));
    }

    /**
     * Stops every run whose order matches.
     *
     * @param withdrawnAt when the orders were withdrawn, in nanoseconds; the lease is not renewed as of a later time
     * @param orders the condition on the order of a run
     * @return the number of runs that were not being stopped before
     */
    public int stopAll(long withdrawnAt, Predicate<OrderId> orders) {
        List<Run> all = runs.all(run -> orders.test(run.request().order()) && !run.isWithdrawn());
        int running = (int) all.stream().filter(run -> !run.isStopRequested()).count();
        all.forEach(run -> stops.withdraw(withdrawnAt, run));
        return running;
    }

    /**
     * Retries unanswered calls that are due.
     *
     * @param nowNanos the present time
     */
    public void tick(long nowNanos) {
        if (worker.current().isPresent() && pollDueAt <= nowNanos) {
            poll(nowNanos);
        }
        stops.tick(nowNanos);
        List<Run> unchecked = runs.all(run -> run.checkDueAt() <= nowNanos);
        unchecked.forEach(run -> run.scheduleCheck(nowNanos + RunStops.RETRY_NANOS));
        if (!unchecked.isEmpty()) {
            pollNow(nowNanos);
        }
    }

    // -- polls

    /** Sends a poll without waiting beside the long poll, to learn soon whether a stopped run has ended. */
    private void pollNow(long nowNanos) {
        calls.poll(worker.current().orElseThrow(), OptionalLong.empty(), acknowledged, 0, (now, result) -> {
            if (result instanceof PollResult.Answered answered) {
                applySnapshot(now, nowNanos, answered.snapshot());
            }
        });
    }

    private void poll(long nowNanos) {
        pollDueAt = Long.MAX_VALUE;
        // The lease may be all that ends orphans, as stop calls may stay unanswered.
        OptionalLong until = orphans.isEmpty() ? lease.renewForPoll(leaseRenewalTime(nowNanos)) : OptionalLong.empty();
        long wait = lease.isRenewable() ? LeaseTimes.pollWaitMillis(runs.size() == 0 && orphans.isEmpty()) : 0;
        calls.poll(
                worker.current().orElseThrow(),
                until,
                acknowledged,
                wait,
                (now, result) -> pollCompleted(now, nowNanos, result));
    }

    private void pollCompleted(long nowNanos, long requestedAt, PollResult result) {
        long incarnationBefore = calls.incarnation();
        if (result instanceof PollResult.Answered answered) {
            applySnapshot(nowNanos, requestedAt, answered.snapshot());
        } else if (result instanceof PollResult.Fenced) {
            fenced(nowNanos);
        } else {
            pollFailed(nowNanos, result);
        }
        if (calls.incarnation() == incarnationBefore && worker.current().isPresent()) {
            if (result instanceof PollResult.Answered) {
                poll(nowNanos);
            } else {
                pollDueAt = nowNanos + RunStops.RETRY_NANOS;
            }
        }
    }

    private void applySnapshot(long nowNanos, long requestedAt, WorkerSnapshot snapshot) {
        long known = worker.current().orElseThrow().startedAtMillis();
        long listed = snapshot.startedAtMillis();
        if (listed != 0 && listed != known) {
            // The worker has restarted, at an earlier time of day if its machine's clock was set back.
            beginIncarnation(nowNanos, worker.restartedAt(listed));
            return;
        }
        worker.answered(requestedAt);
        boolean wasAvailable = availableWorker().isPresent();
        snapshot.ended().forEach(ended -> ended(nowNanos, ended));
        // Answers may arrive out of order: a run that is listed in an outdated one may have ended since.
        if (!lease.isOutdated(snapshot.clockMillis())) {
            reconcile(nowNanos, requestedAt, snapshot.running());
        }
        lease.answered(nowNanos, requestedAt, snapshot.clockMillis());
        if (availableWorker().isPresent() != wasAvailable) {
            availabilityChanged();
        }
    }

    private void availabilityChanged() {
        log.availabilityChanged(availableWorker().isPresent(), orphans.size());
        listener.workerChanged();
    }

    private void ended(long nowNanos, WorkerSnapshot.Ended ended) {
        if (ended.number() <= acknowledged) {
            return;
        }
        acknowledged = ended.number();
        numbers.markUsed(ended.run());
        orphans.ended(ended.run());
        runs.find(ended.run()).ifPresent(run -> {
            run.markBegun(nowNanos);
            results.ended(nowNanos, lease, run, ended.outcome());
        });
    }

    /**
     * Reconciles the runs on the worker with the expected ones: stops orphans and runs that are missing, as those may
     * still be at work, and ends runs that were stopped and are missing.
     */
    private void reconcile(long nowNanos, long requestedAt, List<WorkerSnapshot.Running> running) {
        Set<RunId> present = running.stream().map(WorkerSnapshot.Running::run).collect(Collectors.toSet());
        present.forEach(numbers::markUsed);
        running.forEach(listed -> runs.find(listed.run()).ifPresent(run -> {
            run.recordProgress(nowNanos, listed.percent());
            if (run.mustStopIfListed(requestedAt)) {
                stops.call(nowNanos, run);
            }
        }));
        orphans.reconcile(worker.current().orElseThrow(), requestedAt, runs.unknown(present));
        runs.all(run -> !present.contains(run.id())).forEach(run -> reconcileUnlisted(nowNanos, requestedAt, run));
    }

    private void reconcileUnlisted(long nowNanos, long requestedAt, Run run) {
        run.recordUnlisted(nowNanos, requestedAt);
        if (run.hasEndedIfUnlisted(requestedAt)) {
            results.unlisted(nowNanos, requestedAt, run);
        } else if (run.isMissing(requestedAt)) {
            stops.call(nowNanos, run);
        }
    }

    private void pollFailed(long nowNanos, PollResult result) {
        if (lease.pollMissed()) {
            log.workerUnresponsive(result);
            listener.workerChanged();
        }
        boolean expired = lease.hasCertainlyExpired(nowNanos);
        if (expired) {
            runs.all(Run::hasBegun).forEach(run -> results.leaseExpired(nowNanos, lease, result, run));
        }
        if (expired && worker.isLeaving()) {
            endWorker(nowNanos);
        }
        if (expired || result instanceof PollResult.OtherWorker) {
            worker.successor().ifPresent(next -> beginIncarnation(nowNanos, next));
        }
    }
}
