package org.teaselhook.core.dispatch;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Answer;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.core.rules.Rules;

/**
 * Decides which task starts on which worker, and what becomes of each submission. Confined to one thread; every
 * method takes the present time on the entry's monotonic clock, in nanoseconds.
 *
 * <pre>{@code
 * Dispatcher dispatcher = new Dispatcher(DispatcherSettings.of("thrissur"), output, random);
 * dispatcher.rules(now, rules, version);
 * dispatcher.serving(now, true);
 * dispatcher.connected(now, agentInfo);
 * dispatcher.submit(now, submission);
 * }</pre>
 */
public final class Dispatcher {

    private final Control control;
    private final Fleet fleet;
    private final Intake intake;
    private final Forecast forecast;
    private final Scheduler scheduler;
    private final Settlement settlement;
    private final Results results;

    /**
     * Creates a dispatcher that serves nothing until {@link #serving} says so.
     *
     * @param settings the settings
     * @param output where effects go
     * @param random the source of randomness
     */
    public Dispatcher(DispatcherSettings settings, DispatchOutput output, RandomGenerator random) {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(output, "output is null");
        Objects.requireNonNull(random, "random is null");
        control = new Control(settings, output, random);
        fleet = new Fleet(control);
        forecast = new Forecast(control);
        intake = new Intake(control, fleet, forecast);
        scheduler = new Scheduler(control, fleet, new Demand(control, fleet), this::expired);
        settlement = new Settlement(control, intake, this::removed);
        results = new Results(control, fleet, scheduler, settlement, forecast);
    }

    // -- submissions

    /**
     * Takes a submission, which is answered exactly once through {@link DispatchOutput#answered}, possibly at once.
     *
     * @param nowNanos the present time
     * @param submission the submission, with an id never used before
     */
    public void submit(long nowNanos, Submission submission) {
        control.counters().submissions++;
        Optional<Problem> refusal = intake.refusal(nowNanos, submission);
        if (refusal.isPresent()) {
            settlement.refuse(nowNanos, submission, refusal.get(), queued(submission.service()));
            return;
        }
        ServicePool pool = fleet.pool(submission.service());
        ActiveSubmission active = settlement.open(submission, pool);
        for (ActiveTask task : active.tasks()) {
            task.timer(control.timers().timer(now -> results.wake(now, task)));
            forecast.plan(nowNanos, task, pool);
            scheduler.enqueue(nowNanos, task);
        }
        results.submitted();
        scheduler.drain(nowNanos, pool);
    }

    /**
     * Cancels a submission and answers it at once. Does nothing if it was answered before.
     *
     * @param nowNanos the present time
     * @param submissionId the submission
     */
    public void cancel(long nowNanos, String submissionId) {
        Problem problem = Problem.of(ProblemKind.CANCELLED, "cancelled by the caller");
        settlement
                .find(submissionId)
                .ifPresent(active -> settlement.fail(nowNanos, active, DecisionKind.CANCELLED, problem));
    }

    /**
     * Cancels a submission and answers it as not run, but only if none of its tasks may have started.
     *
     * @param nowNanos the present time
     * @param submissionId the submission
     * @return false if some task may have started, or the submission was answered before
     */
    public boolean cancelUnstarted(long nowNanos, String submissionId) {
        boolean unstarted = settlement
                .find(submissionId)
                .filter(active -> !active.mayHaveRun())
                .isPresent();
        if (unstarted) {
            cancel(nowNanos, submissionId);
        }
        return unstarted;
    }

    // -- agents

    /**
     * Notes a new connection of an agent, whose grants start from none.
     *
     * @param nowNanos the present time
     * @param agent the agent
     * @return the numbers of the orders in progress at this run of the agent, for it to settle
     */
    public long[] connected(long nowNanos, AgentInfo agent) {
        return fleet.connect(nowNanos, agent).numbers();
    }

    /**
     * Notes an agent's heartbeat. Ignored for agents that are not known.
     *
     * @param nowNanos the present time
     * @param agent the agent
     * @param state what it says
     */
    public void updated(long nowNanos, Incarnation agent, AgentState state) {
        fleet.find(agent).ifPresent(worker -> {
            fleet.update(nowNanos, worker, state).forEach(pool -> abandonIfUnserved(nowNanos, pool));
            scheduler.drain(nowNanos, worker);
        });
    }

    /**
     * Notes how many slots an agent could give to orders without a grant, as it says in the frame that is taken next;
     * the grants that this entry holds there are part of them.
     *
     * @param nowNanos the present time
     * @param agent the agent
     * @param slots the number of slots
     */
    public void openSlots(long nowNanos, Incarnation agent, int slots) {
        fleet.find(agent).ifPresent(worker -> {
            worker.open(nowNanos, slots);
            fleet.refresh(nowNanos, worker);
        });
    }

    /**
     * Adds granted slots. They are returned at once where the policy does not use them.
     *
     * @param nowNanos the present time
     * @param agent the agent
     * @param slots the number of slots
     */
    public void granted(long nowNanos, Incarnation agent, int slots) {
        if (!control.settings().policy().usesGrants()) {
            control.output().returnGrants(agent, slots);
            return;
        }
        fleet.find(agent).ifPresent(worker -> {
            worker.grant(slots);
            fleet.refresh(nowNanos, worker);
            scheduler.drain(nowNanos, worker);
        });
    }

    /**
     * Gives back unused granted slots through {@link DispatchOutput#returnGrants}, as many as this entry does not need.
     *
     * @param nowNanos the present time
     * @param agent the agent
     * @param slots the greatest number of slots to return
     */
    public void reclaim(long nowNanos, Incarnation agent, int slots) {
        fleet.find(agent).ifPresent(worker -> {
            int returned = worker.giveBack(slots);
            if (returned > 0) {
                fleet.refresh(nowNanos, worker);
                control.output().returnGrants(agent, returned);
            }
        });
    }

    /**
     * Notes that nothing was heard from an agent for too long: nothing new goes there until it connects again.
     *
     * @param nowNanos the present time
     * @param agent the agent
     */
    public void silent(long nowNanos, Incarnation agent) {
        fleet.find(agent).ifPresent(worker -> {
            worker.silent();
            fleet.refresh(nowNanos, worker);
            worker.attempts().forEach(attempt -> results.silent(nowNanos, attempt));
            scheduler.drain(nowNanos, worker);
        });
    }

    /**
     * Notes that an agent is lost for good: its claimed tasks may have run.
     *
     * @param nowNanos the present time
     * @param agent the agent
     */
    public void gone(long nowNanos, Incarnation agent) {
        fleet.find(agent).ifPresent(worker -> {
            List<ServicePool> shrunk = fleet.remove(worker);
            worker.attempts().forEach(attempt -> lost(nowNanos, attempt));
            shrunk.forEach(pool -> abandonIfUnserved(nowNanos, pool));
            shrunk.forEach(pool -> scheduler.drain(nowNanos, pool));
        });
    }

    /**
     * Takes the result of an order. Late and repeated results change nothing and are counted.
     *
     * @param nowNanos the present time
     * @param agent the agent
     * @param number the dispatch number
     * @param status how the task ended
     * @param answer the target's answer
     * @param runNanos the time at the target, in nanoseconds
     */
    public void result(long nowNanos, Incarnation agent, long number, TaskStatus status, Answer answer, long runNanos) {
        control.output().ack(agent, number);
        Optional<Attempt> attempt = attempt(agent, number);
        attempt.ifPresent(found -> {
            results.result(nowNanos, found, status, answer, runNanos);
            drain(nowNanos, found);
        });
    }

    /**
     * Takes an agent's word that an order did not start and never will.
     *
     * @param nowNanos the present time
     * @param agent the agent
     * @param number the dispatch number
     * @param reason the reason
     */
    public void refused(long nowNanos, Incarnation agent, long number, RefusalReason reason) {
        control.output().ack(agent, number);
        control.counters().refused(reason);
        Optional<Attempt> attempt = attempt(agent, number);
        attempt.ifPresent(found -> {
            results.refused(nowNanos, found, reason);
            drain(nowNanos, found);
        });
    }

    /**
     * Returns how many slots of an agent this entry could use beyond those that it holds.
     *
     * @param nowNanos the present time
     * @param agent the agent
     * @return the number of slots, from 0
     */
    public int wantedSlots(long nowNanos, Incarnation agent) {
        return fleet.find(agent)
                .map(worker -> fleet.wantedSlots(nowNanos, worker))
                .orElse(0);
    }

    // -- configuration

    /**
     * Puts rules in force. Ignored if the version is not above the present one.
     *
     * @param nowNanos the present time
     * @param rules the rules
     * @param version the configuration version
     */
    public void rules(long nowNanos, Rules rules, long version) {
        if (!control.adopt(rules, version)) {
            return;
        }
        fleet.followZones(nowNanos).forEach(pool -> abandonIfUnserved(nowNanos, pool));
        drainAll(nowNanos);
    }

    /**
     * Says whether the entry's configuration is recent enough to start work. While it is not, nothing starts, and
     * work that never started is answered as not run.
     *
     * @param nowNanos the present time
     * @param serving true if work may start
     */
    public void serving(long nowNanos, boolean serving) {
        control.serving(serving);
        if (serving) {
            drainAll(nowNanos);
            return;
        }
        Problem problem = Problem.of(ProblemKind.NOT_READY, "the configuration is not recent");
        settlement.all().stream()
                .filter(active -> !active.mayHaveRun())
                .forEach(active -> settlement.fail(nowNanos, active, DecisionKind.FAILED, problem));
    }

    /**
     * Refuses new submissions from now on; those in progress go on.
     *
     * @param nowNanos the present time
     */
    public void stopping(long nowNanos) {
        control.stop();
    }

    // -- time

    /**
     * Does what has fallen due.
     *
     * @param nowNanos the present time
     */
    public void tick(long nowNanos) {
        control.timers().run(nowNanos);
    }

    /**
     * Returns when {@link #tick} has something to do next.
     *
     * @return an instant, or {@link Long#MAX_VALUE} if nothing is pending
     */
    public long nextTickAt() {
        return control.timers().nextAt();
    }

    // -- accessors

    /**
     * Returns counts and sizes for metrics.
     *
     * @return the present values
     */
    public DispatchStats stats() {
        int queued =
                fleet.pools().stream().mapToInt(pool -> pool.queue().size()).sum();
        return control.counters().stats(queued, scheduler.running(), fleet.size(), fleet.ejected());
    }

    /**
     * Returns the number of submissions not yet answered.
     *
     * @return the number, from 0
     */
    public int size() {
        return settlement.size();
    }

    // -- steps

    private int queued(String service) {
        return fleet.findPool(service).map(pool -> pool.queue().size()).orElse(0);
    }

    private Optional<Attempt> attempt(Incarnation agent, long number) {
        Optional<Attempt> attempt = fleet.find(agent).flatMap(worker -> scheduler.find(worker, number));
        if (attempt.isEmpty()) {
            control.counters().unknownResults++;
        }
        return attempt;
    }

    private void drain(long nowNanos, Attempt ended) {
        ServicePool pool = ended.task().submission().pool();
        scheduler.drain(nowNanos, ended.member().worker());
        if (!ended.member().worker().members().containsValue(ended.member())) {
            scheduler.drain(nowNanos, pool);
        }
    }

    private void drainAll(long nowNanos) {
        fleet.pools().forEach(pool -> scheduler.drain(nowNanos, pool));
    }

    private void lost(long nowNanos, Attempt attempt) {
        scheduler.close(nowNanos, attempt, true);
        String detail = "worker=" + attempt.member().worker().info().name() + " number=" + attempt.number();
        results.failed(nowNanos, attempt, Problem.of(ProblemKind.WORKER_LOST, detail));
    }

    private void expired(long nowNanos, ActiveTask task) {
        results.expired(nowNanos, task);
    }

    private void removed(ActiveTask task) {
        scheduler.dequeue(task);
        task.open().forEach(scheduler::cancel);
    }

    /** Answers what waits for a service that no worker in service serves any more. */
    private void abandonIfUnserved(long nowNanos, ServicePool pool) {
        if (pool.membersInService() > 0 || pool.queue().isEmpty()) {
            return;
        }
        Problem problem = Problem.of(ProblemKind.NO_WORKER, "service=" + pool.service());
        settlement.all().stream()
                .filter(active -> active.pool() == pool && !active.mayHaveRun())
                .forEach(active -> settlement.fail(nowNanos, active, DecisionKind.FAILED, problem));
    }
}
