package org.teaselhook.core.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.teaselhook.core.amount.Amounts;
import org.teaselhook.core.id.Incarnation;

/**
 * The runs on the one worker of an agent. Confined to the control thread.
 *
 * <p>An order's amounts count as used from its start call until its end was listed, or until it certainly cannot begin
 * any more. A start without an answer may take effect seconds later; it is stopped by name, which also keeps it from
 * beginning. A new life of the worker, or of this agent, first seals: a look with a higher fencing token makes the
 * worker ignore every older call, and whatever runs that nobody here ordered is stopped before new work is taken.
 */
public final class WorkerRuns {

    /** How far the token rises when the worker has seen a higher one, as after a clock of a former agent ran ahead. */
    private static final long TOKEN_LEAP = TimeUnit.HOURS.toMillis(1);

    /** How often a start is called under a higher number: a job is sent again only a few times. */
    private static final int MAX_START_CALLS = 4;

    /** The pause before an unanswered call is made again, in ns: long enough not to press a worker that is down. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private final WorkerCalls calls;
    private final ControlThread control;
    private final RunEvents events;
    private final LeaseLog log;
    private final RunTable runs = new RunTable();
    private final Set<RunId> strays = new HashSet<>();
    private final RunNumbers numbers = new RunNumbers();
    private final Lease lease = new Lease();
    private Optional<WorkerReport> worker = Optional.empty();
    private long token;
    private long acknowledged;
    private long life;
    private long lookDueAt = Long.MAX_VALUE;

    private WorkerRuns(long firstToken, WorkerCalls calls, ControlThread control, RunEvents events, LeaseLog log) {
        this.token = firstToken;
        this.calls = Objects.requireNonNull(calls, "calls is null");
        this.control = Objects.requireNonNull(control, "control is null");
        this.events = Objects.requireNonNull(events, "events is null");
        this.log = Objects.requireNonNull(log, "log is null");
    }

    // -- factories

    /**
     * Returns the state of an agent that has not heard from its worker.
     *
     * @param firstToken the first fencing token, above that of an earlier agent if its clock was right
     * @param calls the calls to the worker
     * @param control brings their results to the control thread
     * @param events told what becomes of orders
     * @param log told what is believed of the worker
     * @return a new state
     */
    public static WorkerRuns of(
            long firstToken, WorkerCalls calls, ControlThread control, RunEvents events, LeaseLog log) {
        return new WorkerRuns(firstToken, calls, control, events, log);
    }

    // -- accessors

    /**
     * Returns the worker, if it may be given runs now.
     *
     * @return its last report, or empty
     */
    public Optional<WorkerReport> open() {
        return worker.filter(w -> lease.isHeld() && strays.isEmpty() && !w.draining());
    }

    /**
     * Returns what runs that have not certainly ended use.
     *
     * @return the sum
     */
    public Amounts used() {
        return runs.used();
    }

    /** Tells whether a run of the given amounts could start now. */
    boolean hasRoom(Amounts amounts) {
        return open().filter(w -> amounts.fitsInto(w.capacity().minus(runs.used())))
                .isPresent();
    }

    /**
     * Tells whether an order is still to be answered with an end or a refusal.
     *
     * @param order the order
     * @return true if so
     */
    public boolean holds(OrderId order) {
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
     * Returns when {@link #tick} has something to do next.
     *
     * @return an instant, or {@link Long#MAX_VALUE} if nothing is pending
     */
    public long nextTickAt() {
        return runs.all().stream().mapToLong(Run::stopDueAt).reduce(lookDueAt, Math::min);
    }

    /**
     * Returns how long runs take beside their estimates, by the progress of those that run now.
     *
     * @return 1 where estimates are right; empty if too few run
     */
    public OptionalDouble pace() {
        return WorkerPace.of(runs.all());
    }

    /**
     * Returns what the progress of an entry's runs foretells.
     *
     * @param entry the run of the entry
     * @return the forecasts by order number
     */
    public Map<Long, RunForecast> forecasts(Incarnation entry) {
        return runs.forecasts(entry);
    }

    // -- the worker's word

    /**
     * Takes a worker's report of itself. Late reports, of this life or an earlier one, change nothing.
     *
     * @param nowNanos the present time
     * @param report the report
     */
    public void reported(long nowNanos, WorkerReport report) {
        Optional<WorkerReport> known = worker;
        if (known.isPresent() && !report.isNewerThan(known.get())) {
            log.lateReport(report);
            return;
        }
        worker = Optional.of(report);
        if (known.isEmpty() || !known.get().isSameLife(report)) {
            begin(nowNanos, report);
        } else if (known.get().draining() != report.draining()
                || !known.get().capacity().equals(report.capacity())) {
            log.workerChanged(report);
            events.workerChanged();
        }
    }

    /**
     * Takes a worker's word that it ends; with it ends all that it runs.
     *
     * @param nowNanos the present time
     * @param workerId the worker's id
     */
    public void left(long nowNanos, String workerId) {
        if (worker.filter(w -> w.id().equals(workerId)).isEmpty()) {
            return;
        }
        log.workerLeft(workerId);
        worker = Optional.empty();
        endLife(nowNanos);
    }

    private void begin(long nowNanos, WorkerReport report) {
        log.workerBegan(report, runs.size());
        endLife(nowNanos);
        look(nowNanos);
    }

    /** Forgets a life of the worker: everything that it ran is over, and its calls in progress mean nothing. */
    private void endLife(long nowNanos) {
        life++;
        token++;
        acknowledged = 0;
        lease.reset();
        strays.clear();
        runs.all().forEach(run -> over(nowNanos, run, RunOutcome.LOST));
        events.workerChanged();
    }

    // -- orders

    /**
     * Takes an order, which ends in exactly one call of {@link RunEvents#ended} or {@link RunEvents#refused}.
     *
     * @param nowNanos the present time
     * @param request the order
     */
    public void order(long nowNanos, RunRequest request) {
        Optional<RunRefusal> refusal = refusal(nowNanos, request);
        if (refusal.isPresent()) {
            events.refused(request, refusal.get());
            return;
        }
        Run run = new Run(request, numbers.next(request.run()), nowNanos);
        runs.add(run);
        callStart(nowNanos, run, run.id());
    }

    private Optional<RunRefusal> refusal(long nowNanos, RunRequest request) {
        Optional<WorkerReport> ready = open().filter(w -> w.service().equals(request.service()));
        if (ready.isEmpty()) {
            return Optional.of(RunRefusal.NO_WORKER);
        }
        if (nowNanos - request.startBy() > 0) {
            return Optional.of(RunRefusal.START_BY_PASSED);
        }
        boolean runsNow = stopOtherRuns(nowNanos, request.run().task());
        return runsNow || !hasRoom(request.amounts()) ? Optional.of(RunRefusal.NO_ROOM) : Optional.empty();
    }

    /** Stops an older run of a task that is ordered again, and tells whether there is one. */
    private boolean stopOtherRuns(long nowNanos, String task) {
        List<Run> same = runs.all(run -> run.id().task().equals(task));
        same.forEach(run -> stop(nowNanos, run));
        return !same.isEmpty();
    }

    private void callStart(long nowNanos, Run run, RunId id) {
        runs.renumber(run, id);
        numbers.used(id);
        long calledInLife = life;
        long until = lease.renewForStart(nowNanos);
        control.handle(calls.start(worker.orElseThrow(), id, run.request().spec(), until, token), (now, result) -> {
            if (calledInLife == life && runs.holds(id, run) && run.state() == Run.State.STARTING) {
                started(now, run, result);
            }
        });
    }

    private void started(long nowNanos, Run run, StartResult result) {
        log.startAnswered(run.request().order(), run.id(), result);
        switch (result) {
            case STARTED -> begun(nowNanos, run);
            case OLD_RUN -> startAgain(nowNanos, run);
            case UNKNOWN -> stopNow(nowNanos, run);
            case FENCED -> {
                refuse(run, result.refusal());
                fenced();
            }
            default -> refuse(run, result.refusal());
        }
    }

    private void begun(long nowNanos, Run run) {
        run.begun(nowNanos);
        if (run.isStopWanted()) {
            stopNow(nowNanos, run);
        }
    }

    private void startAgain(long nowNanos, Run run) {
        if (run.isStopWanted() || run.startCalls() >= MAX_START_CALLS) {
            refuse(run, RunRefusal.WORKER_REFUSED);
        } else {
            callStart(nowNanos, run, run.id().next());
        }
    }

    private void fenced() {
        token += TOKEN_LEAP;
        lease.unseal();
        log.fenced(token);
        events.workerChanged();
    }

    // -- stops

    /**
     * Stops the run of an order. Its end or refusal follows.
     *
     * @param nowNanos the present time
     * @param order the order
     */
    public void stop(long nowNanos, OrderId order) {
        runs.find(order).ifPresent(run -> stop(nowNanos, run));
    }

    /**
     * Stops every run of an entry, which may be gone.
     *
     * @param nowNanos the present time
     * @param entry the run of the entry
     * @return the number of runs that were not being stopped already
     */
    public int stopAll(long nowNanos, Incarnation entry) {
        List<Run> all = runs.all(run -> run.request().order().entry().equals(entry) && !run.isStopWanted());
        all.forEach(run -> stop(nowNanos, run));
        return all.size();
    }

    private void stop(long nowNanos, Run run) {
        boolean first = !run.isStopWanted();
        run.wantStop();
        if (first && run.state() == Run.State.RUNNING) {
            stopNow(nowNanos, run);
        }
    }

    private void stopNow(long nowNanos, Run run) {
        run.wantStop();
        run.stopping();
        RunId id = run.id();
        long calledInLife = life;
        control.handle(calls.stop(worker.orElseThrow(), id, token), (now, result) -> {
            if (calledInLife == life && runs.holds(id, run) && run.state() == Run.State.STOPPING) {
                stopAnswered(now, run, result);
            }
        });
    }

    private void stopAnswered(long nowNanos, Run run, StopResult result) {
        switch (result) {
            case STOPPED -> {
                run.stopped(nowNanos);
                if (!run.hasBegun()) {
                    lookOnce(nowNanos);
                }
            }
            case FENCED -> {
                fenced();
                stopNow(nowNanos, run);
            }
            default -> run.stopAgainAt(nowNanos + RETRY_NANOS);
        }
    }

    /**
     * Repeats calls that went unanswered and are due again.
     *
     * @param nowNanos the present time
     */
    public void tick(long nowNanos) {
        if (worker.isPresent() && lookDueAt <= nowNanos) {
            look(nowNanos);
        }
        runs.all(run -> run.isStopDue(nowNanos)).forEach(run -> stopNow(nowNanos, run));
    }

    // -- looks

    /** Looks beside the look that waits for an end, to settle soon what became of an unanswered start. */
    private void lookOnce(long nowNanos) {
        long calledInLife = life;
        OptionalLong noRenewal = OptionalLong.empty();
        control.handle(calls.look(worker.orElseThrow(), noRenewal, token, acknowledged, 0), (now, result) -> {
            if (calledInLife == life && result instanceof LookResult.Seen seen) {
                seen(now, nowNanos + 1, seen.look());
            }
        });
    }

    private void look(long nowNanos) {
        lookDueAt = Long.MAX_VALUE;
        OptionalLong until = lease.renewForLook(nowNanos);
        long calledInLife = life;
        long longest = runs.size() == 0 ? LeaseTimes.IDLE_LOOK_WAIT_MILLIS : LeaseTimes.LOOK_WAIT_MILLIS;
        long wait = until.isPresent() ? longest : 0;
        control.handle(calls.look(worker.orElseThrow(), until, token, acknowledged, wait), (now, result) -> {
            if (calledInLife == life) {
                looked(now, nowNanos, result);
            }
        });
    }

    private void looked(long nowNanos, long askedAt, LookResult result) {
        long lifeBefore = life;
        if (result instanceof LookResult.Seen seen) {
            seen(nowNanos, askedAt, seen.look());
        } else if (result instanceof LookResult.Fenced) {
            fenced();
        } else {
            missed(nowNanos, result);
        }
        if (life == lifeBefore && worker.isPresent()) {
            if (result instanceof LookResult.Seen) {
                look(nowNanos);
            } else {
                lookDueAt = nowNanos + RETRY_NANOS;
            }
        }
    }

    private void seen(long nowNanos, long askedAt, WorkerLook look) {
        long known = worker.orElseThrow().startedAtMillis();
        if (look.startedAtMillis() != 0 && look.startedAtMillis() != known) {
            anotherLife(nowNanos, look);
            return;
        }
        boolean wasOpen = open().isPresent();
        look.ended().forEach(ended -> ended(nowNanos, ended));
        // Two answers may overtake each other; what an older one lists as running may have ended since.
        if (!lease.isOlder(look.clockMillis())) {
            reconcile(nowNanos, askedAt, look.running());
        }
        lease.answered(nowNanos, look.clockMillis());
        if (open().isPresent() != wasOpen) {
            log.openChanged(open().isPresent(), strays.size());
            events.workerChanged();
        }
    }

    /** The worker was started again under its id: nothing of before runs. */
    private void anotherLife(long nowNanos, WorkerLook look) {
        WorkerReport old = worker.orElseThrow();
        if (look.startedAtMillis() > old.startedAtMillis()) {
            WorkerReport next = old.startedAgain(look.startedAtMillis());
            worker = Optional.of(next);
            begin(nowNanos, next);
        }
    }

    private void ended(long nowNanos, WorkerLook.Ended ended) {
        if (ended.number() <= acknowledged) {
            return;
        }
        acknowledged = ended.number();
        numbers.used(ended.run());
        strays.remove(ended.run());
        runs.find(ended.run()).ifPresent(run -> {
            run.begun(nowNanos);
            over(nowNanos, run, ended.outcome());
        });
    }

    /** Compares what runs with what should: stops strays, and ends what has vanished. */
    private void reconcile(long nowNanos, long askedAt, List<WorkerLook.Running> running) {
        Set<RunId> present = running.stream().map(WorkerLook.Running::run).collect(Collectors.toSet());
        strays.retainAll(present);
        for (WorkerLook.Running seen : running) {
            RunId id = seen.run();
            Optional<Run> run = runs.find(id);
            if (run.isPresent()) {
                run.get().seen(nowNanos, seen.percent());
            } else {
                strays.add(id);
                numbers.used(id);
                log.stray(id);
                // If that goes unanswered, the next look finds the run again.
                calls.stop(worker.orElseThrow(), id, token);
            }
        }
        runs.all(run -> !present.contains(run.id()) && run.isOverIfMissing(askedAt))
                .forEach(run -> over(nowNanos, run, RunOutcome.LOST));
    }

    private void missed(long nowNanos, LookResult result) {
        if (lease.missed()) {
            log.missed(result);
            events.workerChanged();
        }
        if (lease.isSurelyOver(nowNanos)) {
            runs.all(Run::hasBegun).forEach(run -> over(nowNanos, run, RunOutcome.LOST));
        }
    }

    // -- ends

    private void over(long nowNanos, Run run, RunOutcome outcome) {
        runs.remove(run);
        if (run.hasBegun()) {
            long millis = TimeUnit.NANOSECONDS.toMillis(nowNanos - run.orderedAt());
            events.ended(run.request(), outcome, millis);
        } else {
            events.refused(run.request(), run.refusalIfLost());
        }
        events.roomChanged();
    }

    private void refuse(Run run, RunRefusal refusal) {
        runs.remove(run);
        events.refused(run.request(), run.isStopWanted() ? RunRefusal.CANCELLED : refusal);
        events.roomChanged();
    }
}
