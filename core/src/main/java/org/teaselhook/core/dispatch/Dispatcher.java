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
 * Decides which task starts on which worker, and answers each submission. Confined to one thread; every method takes
 * the current time on the entry's monotonic clock, in nanoseconds.
 *
 * <pre>{@code
 * Dispatcher dispatcher = new Dispatcher(DispatcherSettings.of("thrissur"), output, random);
 * dispatcher.applyRules(now, rules, version);
 * dispatcher.setServing(now, true);
 * dispatcher.agentConnected(now, agentInfo);
 * dispatcher.submit(now, submission);
 * }</pre>
 */
public final class Dispatcher {

    private final DispatchContext context;
    private final WorkerRegistry registry;
    private final AdmissionControl admission;
    private final CompletionForecast forecast;
    private final Scheduler scheduler;
    private final SubmissionTracker tracker;
    private final ResultHandler resultHandler;

    /**
     * Creates a dispatcher that starts no work until {@link #setServing} allows it.
     *
     * @param settings the settings
     * @param output the receiver of the effects
     * @param random the source of randomness
     */
    public Dispatcher(DispatcherSettings settings, DispatchOutput output, RandomGenerator random) {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(output, "output is null");
        Objects.requireNonNull(random, "random is null");
        context = new DispatchContext(settings, output, random);
        registry = new WorkerRegistry(context);
        forecast = new CompletionForecast(context);
        admission = new AdmissionControl(context, registry, forecast);
        scheduler = new Scheduler(context, registry, new SlotRequester(context, registry), this::expire);
        tracker = new SubmissionTracker(context, admission, this::discard);
        resultHandler = new ResultHandler(context, registry, scheduler, tracker, forecast);
    }

    // -- submissions

    /**
     * Admits or refuses a submission. It is answered exactly once, possibly before this method returns, through
     * {@link DispatchOutput#submissionAnswered}.
     *
     * @param nowNanos the current time
     * @param submission the submission, with a unique id
     */
    public void submit(long nowNanos, Submission submission) {
        context.counters().submissions++;
        Optional<Problem> refusal = admission.refusal(nowNanos, submission);
        if (refusal.isPresent()) {
            tracker.refuse(nowNanos, submission, refusal.get(), queueLength(submission.service()));
            return;
        }
        ServicePool pool = registry.pool(submission.service());
        ActiveSubmission active = tracker.register(submission, pool);
        for (ActiveTask task : active.tasks()) {
            task.timer(context.timers().timer(now -> resultHandler.handleTimer(now, task)));
            forecast.plan(nowNanos, task, pool);
            scheduler.enqueue(nowNanos, task);
        }
        resultHandler.submissionAdmitted();
        scheduler.drain(nowNanos, pool);
    }

    /**
     * Cancels a submission and answers it immediately. Does nothing if it was answered before.
     *
     * @param nowNanos the current time
     * @param submissionId the id of the submission
     */
    public void cancel(long nowNanos, String submissionId) {
        Problem problem = Problem.of(ProblemKind.CANCELLED, "cancelled by the caller");
        tracker.find(submissionId).ifPresent(active -> tracker.fail(nowNanos, active, DecisionKind.CANCELLED, problem));
    }

    /**
     * Cancels a submission and answers it as not run, provided that none of its tasks may have started.
     *
     * @param nowNanos the current time
     * @param submissionId the id of the submission
     * @return false if a task may have started, or the submission was answered before
     */
    public boolean cancelUnstarted(long nowNanos, String submissionId) {
        boolean unstarted = tracker.find(submissionId)
                .filter(active -> !active.mayHaveRun())
                .isPresent();
        if (unstarted) {
            cancel(nowNanos, submissionId);
        }
        return unstarted;
    }

    // -- agents

    /**
     * Registers a new connection of an agent. Grants of an earlier connection are void.
     *
     * @param nowNanos the current time
     * @param agent the agent
     * @return the dispatch numbers of the orders in progress at this incarnation of the agent, for it to report their
     *     results or refusals
     */
    public long[] agentConnected(long nowNanos, AgentInfo agent) {
        return registry.connect(nowNanos, agent).attemptNumbers();
    }

    /**
     * Applies an agent's heartbeat. Ignored for unknown agents.
     *
     * @param nowNanos the current time
     * @param agent the agent
     * @param state the reported state
     */
    public void heartbeatReceived(long nowNanos, Incarnation agent, AgentState state) {
        registry.find(agent).ifPresent(worker -> {
            registry.update(nowNanos, worker, state).forEach(pool -> failIfUnserved(nowNanos, pool));
            scheduler.drain(nowNanos, worker);
        });
    }

    /**
     * Updates the number of slots that an agent could give to orders without a grant. The agent reports it in the same
     * frame as the event that is applied next; the number includes the grants that this entry holds.
     *
     * @param nowNanos the current time
     * @param agent the agent
     * @param slots the number of slots
     */
    public void openSlotsReported(long nowNanos, Incarnation agent, int slots) {
        registry.find(agent).ifPresent(worker -> {
            worker.openSlotsReported(nowNanos, slots);
            registry.refresh(nowNanos, worker);
        });
    }

    /**
     * Adds granted slots. They are returned immediately if the policy does not use grants.
     *
     * @param nowNanos the current time
     * @param agent the agent
     * @param slots the number of slots
     */
    public void slotsGranted(long nowNanos, Incarnation agent, int slots) {
        if (!context.settings().policy().usesGrants()) {
            context.output().returnGrants(agent, slots);
            return;
        }
        registry.find(agent).ifPresent(worker -> {
            worker.addGrants(slots);
            registry.refresh(nowNanos, worker);
            scheduler.drain(nowNanos, worker);
        });
    }

    /**
     * Returns unused granted slots through {@link DispatchOutput#returnGrants}, up to the number requested.
     *
     * @param nowNanos the current time
     * @param agent the agent
     * @param slots the maximum number of slots to return
     */
    public void reclaimGrants(long nowNanos, Incarnation agent, int slots) {
        registry.find(agent).ifPresent(worker -> {
            int returned = worker.releaseGrants(slots);
            if (returned > 0) {
                registry.refresh(nowNanos, worker);
                context.output().returnGrants(agent, returned);
            }
        });
    }

    /**
     * Marks an agent as unresponsive after its heartbeat timeout: it gets no new orders until it reconnects.
     *
     * @param nowNanos the current time
     * @param agent the agent
     */
    public void agentUnresponsive(long nowNanos, Incarnation agent) {
        registry.find(agent).ifPresent(worker -> {
            worker.markUnresponsive();
            registry.refresh(nowNanos, worker);
            worker.attempts().forEach(attempt -> resultHandler.handleUnresponsiveWorker(nowNanos, attempt));
            scheduler.drain(nowNanos, worker);
        });
    }

    /**
     * Removes an agent that is permanently lost. Its at-most-once tasks fail as possibly run.
     *
     * @param nowNanos the current time
     * @param agent the agent
     */
    public void agentLost(long nowNanos, Incarnation agent) {
        registry.find(agent).ifPresent(worker -> {
            List<ServicePool> shrunkPools = registry.remove(worker);
            worker.attempts().forEach(attempt -> failLostAttempt(nowNanos, attempt));
            shrunkPools.forEach(pool -> failIfUnserved(nowNanos, pool));
            shrunkPools.forEach(pool -> scheduler.drain(nowNanos, pool));
        });
    }

    /**
     * Handles the result of an order. Late results don't change the answer; they and duplicates are counted.
     *
     * @param nowNanos the current time
     * @param agent the agent
     * @param number the dispatch number
     * @param status how the task ended
     * @param answer the target's answer
     * @param runNanos the run time at the target, in nanoseconds
     */
    public void resultReceived(
            long nowNanos, Incarnation agent, long number, TaskStatus status, Answer answer, long runNanos) {
        context.output().ack(agent, number);
        Optional<Attempt> attempt = findAttempt(agent, number);
        attempt.ifPresent(found -> {
            resultHandler.handleResult(nowNanos, found, status, answer, runNanos);
            drain(nowNanos, found);
        });
    }

    /**
     * Handles an agent's refusal of an order, which did not start and never will.
     *
     * @param nowNanos the current time
     * @param agent the agent
     * @param number the dispatch number
     * @param reason the reason for the refusal
     */
    public void refusalReceived(long nowNanos, Incarnation agent, long number, RefusalReason reason) {
        context.output().ack(agent, number);
        context.counters().refused(reason);
        Optional<Attempt> attempt = findAttempt(agent, number);
        attempt.ifPresent(found -> {
            resultHandler.handleRefusal(nowNanos, found, reason);
            drain(nowNanos, found);
        });
    }

    /**
     * Returns how many slots of an agent this entry could use beyond the grants that it holds.
     *
     * @param nowNanos the current time
     * @param agent the agent
     * @return the number of slots, from 0
     */
    public int wantedSlots(long nowNanos, Incarnation agent) {
        return registry.find(agent)
                .map(worker -> registry.wantedSlots(nowNanos, worker))
                .orElse(0);
    }

    // -- configuration

    /**
     * Applies rules. Ignored if the version is not higher than the current one.
     *
     * @param nowNanos the current time
     * @param rules the rules
     * @param version the configuration version
     */
    public void applyRules(long nowNanos, Rules rules, long version) {
        if (!context.applyRules(rules, version)) {
            return;
        }
        registry.applyZones(nowNanos).forEach(pool -> failIfUnserved(nowNanos, pool));
        drainAll(nowNanos);
    }

    /**
     * Sets whether the entry's configuration is recent enough to start work. While it is not, no task starts, and
     * submissions without a started task are answered as not run.
     *
     * @param nowNanos the current time
     * @param serving true if work may start
     */
    public void setServing(long nowNanos, boolean serving) {
        context.setServing(serving);
        if (serving) {
            drainAll(nowNanos);
            return;
        }
        Problem problem = Problem.of(ProblemKind.NOT_READY, "the configuration is not recent");
        tracker.snapshot().stream()
                .filter(active -> !active.mayHaveRun())
                .forEach(active -> tracker.fail(nowNanos, active, DecisionKind.FAILED, problem));
    }

    /**
     * Refuses new submissions from now on; those in progress continue.
     *
     * @param nowNanos the current time
     */
    public void stopAdmission(long nowNanos) {
        context.stopAdmission();
    }

    // -- time

    /**
     * Runs the timers that are due.
     *
     * @param nowNanos the current time
     */
    public void tick(long nowNanos) {
        context.timers().run(nowNanos);
    }

    /**
     * Returns the time at which the next timer is due, for a call of {@link #tick}.
     *
     * @return a time on the entry's clock, or {@link Long#MAX_VALUE} if no timer is set
     */
    public long nextTickAt() {
        return context.timers().nextAt();
    }

    // -- accessors

    /**
     * Returns counters and gauges for metrics.
     *
     * @return the current values
     */
    public DispatchStats stats() {
        int queued =
                registry.pools().stream().mapToInt(pool -> pool.queue().size()).sum();
        return context.counters().stats(queued, scheduler.running(), registry.size(), registry.ejected());
    }

    /**
     * Returns the number of submissions not yet answered.
     *
     * @return the number, from 0
     */
    public int activeSubmissions() {
        return tracker.size();
    }

    // -- helpers

    private int queueLength(String service) {
        return registry.findPool(service).map(pool -> pool.queue().size()).orElse(0);
    }

    private Optional<Attempt> findAttempt(Incarnation agent, long number) {
        Optional<Attempt> attempt = registry.find(agent).flatMap(worker -> scheduler.find(worker, number));
        if (attempt.isEmpty()) {
            context.counters().unknownResults++;
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
        registry.pools().forEach(pool -> scheduler.drain(nowNanos, pool));
    }

    private void failLostAttempt(long nowNanos, Attempt attempt) {
        scheduler.endAttempt(nowNanos, attempt, true);
        String detail = "worker=" + attempt.member().worker().info().name() + " number=" + attempt.number();
        resultHandler.handleFailure(nowNanos, attempt, Problem.of(ProblemKind.WORKER_LOST, detail));
    }

    private void expire(long nowNanos, ActiveTask task) {
        resultHandler.handleExpiry(nowNanos, task);
    }

    private void discard(ActiveTask task) {
        scheduler.dequeue(task);
        task.attempts().forEach(scheduler::cancel);
    }

    /** Fails the unstarted submissions of a service that has no worker in service any more. */
    private void failIfUnserved(long nowNanos, ServicePool pool) {
        if (pool.membersInService() > 0 || pool.queue().isEmpty()) {
            return;
        }
        Problem problem = Problem.of(ProblemKind.NO_WORKER, "service=" + pool.service());
        tracker.snapshot().stream()
                .filter(active -> active.pool() == pool && !active.mayHaveRun())
                .forEach(active -> tracker.fail(nowNanos, active, DecisionKind.FAILED, problem));
    }
}
