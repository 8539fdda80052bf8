package org.teaselhook.core.dispatch;

import java.util.Objects;
import java.util.random.RandomGenerator;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Answer;
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

    private final DispatcherSettings settings;
    private final DispatchOutput output;
    private final RandomGenerator random;

    /**
     * Creates a dispatcher that serves nothing until {@link #serving} says so.
     *
     * @param settings the settings
     * @param output where effects go
     * @param random the source of randomness
     */
    public Dispatcher(DispatcherSettings settings, DispatchOutput output, RandomGenerator random) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.output = Objects.requireNonNull(output, "output is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    // -- submissions

    /**
     * Takes a submission, which is answered exactly once through {@link DispatchOutput#answered}, possibly at once.
     *
     * @param nowNanos the present time
     * @param submission the submission, with an id never used before
     */
    public void submit(long nowNanos, Submission submission) {}

    /**
     * Cancels a submission and answers it at once. Does nothing if it was answered before.
     *
     * @param nowNanos the present time
     * @param submissionId the submission
     */
    public void cancel(long nowNanos, String submissionId) {}

    // -- agents

    /**
     * Notes a new connection of an agent, whose grants start from none.
     *
     * @param nowNanos the present time
     * @param agent the agent
     * @return the numbers of the orders in progress at this run of the agent, for it to settle
     */
    public long[] connected(long nowNanos, AgentInfo agent) {
        return new long[0];
    }

    /**
     * Notes an agent's heartbeat. Ignored for agents that are not known.
     *
     * @param nowNanos the present time
     * @param agent the agent
     * @param state what it says
     */
    public void updated(long nowNanos, Incarnation agent, AgentState state) {}

    /**
     * Adds granted slots.
     *
     * @param nowNanos the present time
     * @param agent the agent
     * @param slots the number of slots
     */
    public void granted(long nowNanos, Incarnation agent, int slots) {}

    /**
     * Gives back unused granted slots through {@link DispatchOutput#returnGrants}, as many as this entry does not need.
     *
     * @param nowNanos the present time
     * @param agent the agent
     * @param slots the greatest number of slots to return
     */
    public void reclaim(long nowNanos, Incarnation agent, int slots) {}

    /**
     * Notes that nothing was heard from an agent for too long: nothing new goes there until it connects again.
     *
     * @param nowNanos the present time
     * @param agent the agent
     */
    public void silent(long nowNanos, Incarnation agent) {}

    /**
     * Notes that an agent is lost for good: its claimed tasks may have run.
     *
     * @param nowNanos the present time
     * @param agent the agent
     */
    public void gone(long nowNanos, Incarnation agent) {}

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
    public void result(
            long nowNanos, Incarnation agent, long number, TaskStatus status, Answer answer, long runNanos) {}

    /**
     * Takes an agent's word that an order did not start and never will.
     *
     * @param nowNanos the present time
     * @param agent the agent
     * @param number the dispatch number
     * @param reason the reason
     */
    public void refused(long nowNanos, Incarnation agent, long number, RefusalReason reason) {}

    /**
     * Returns how many slots of an agent this entry could use beyond those that it holds.
     *
     * @param agent the agent
     * @return the number of slots, from 0
     */
    public int wantedSlots(Incarnation agent) {
        return 0;
    }

    // -- configuration

    /**
     * Puts rules in force. Ignored if the version is not above the present one.
     *
     * @param nowNanos the present time
     * @param rules the rules
     * @param version the configuration version
     */
    public void rules(long nowNanos, Rules rules, long version) {}

    /**
     * Says whether the entry's configuration is recent enough to start work. While it is not, nothing starts, and
     * work that never started is answered as not run.
     *
     * @param nowNanos the present time
     * @param serving true if work may start
     */
    public void serving(long nowNanos, boolean serving) {}

    /**
     * Refuses new submissions from now on; those in progress go on.
     *
     * @param nowNanos the present time
     */
    public void stopping(long nowNanos) {}

    // -- time

    /**
     * Does what has fallen due.
     *
     * @param nowNanos the present time
     */
    public void tick(long nowNanos) {}

    /**
     * Returns when {@link #tick} has something to do next.
     *
     * @return an instant, or {@link Long#MAX_VALUE} if nothing is pending
     */
    public long nextTickAt() {
        return Long.MAX_VALUE;
    }

    // -- accessors

    /**
     * Returns counts and sizes for metrics.
     *
     * @return the present values
     */
    public DispatchStats stats() {
        return new DispatchStats(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, java.util.Map.of(), 0, 0, 0, 0);
    }

    /**
     * Returns the number of submissions not yet answered.
     *
     * @return the number, from 0
     */
    public int size() {
        return 0;
    }
}
