package org.teaselhook.bench.capacity;

import java.util.List;
import java.util.Random;
import java.util.Set;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.teaselhook.bench.load.OrderSink;
import org.teaselhook.core.dispatch.AgentInfo;
import org.teaselhook.core.dispatch.AgentState;
import org.teaselhook.core.dispatch.Dispatcher;
import org.teaselhook.core.dispatch.DispatcherSettings;
import org.teaselhook.core.dispatch.Submission;
import org.teaselhook.core.dispatch.TaskRequest;
import org.teaselhook.core.dispatch.TaskStatus;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Answer;
import org.teaselhook.core.rules.Rules;

/** Benchmarks the dispatcher's decisions for different numbers of workers and waiting tasks. */
@State(Scope.Thread)
public class DispatcherBenchmark {

    private static final int SLOTS = 8;
    private static final int ZONES = 24;
    private static final int CUSTOMERS = 250;
    private static final long TIMEOUT_NANOS = 3_600_000_000_000L;
    private static final long RUN_NANOS = 100_000_000L;
    private static final long STEP_NANOS = 1_000;
    private static final TaskRequest TASK = TaskRequest.of("photo-check", "text/plain", new byte[64], true, RUN_NANOS);
    private static final Answer ANSWER = Answer.of(200, "text/plain", new byte[64]);
    private static final AgentState STATE = new AgentState(Set.of("s"), false, 1, 0);

    /** The number of workers. */
    @Param({"100", "900", "3600"})
    public int workers;

    /** The number of tasks that wait while every slot is in use. */
    @Param({"0", "1000", "20000"})
    public int queued;

    private final OrderSink orders = new OrderSink();
    private Dispatcher dispatcher;
    private long now = 1;
    private long nextId;
    private long nextAgent;

    /** Creates the benchmark. Called by JMH. */
    public DispatcherBenchmark() {
        // The state is set up in fill().
    }

    /** Submits tasks until every slot is busy and the queue has its length. */
    @Setup
    public void fill() {
        dispatcher = new Dispatcher(DispatcherSettings.of("zone-0"), orders, new Random(1));
        dispatcher.applyRules(now, Rules.empty(), 1);
        dispatcher.setServing(now, true);
        for (int i = 1; i <= workers; i++) {
            AgentInfo info = new AgentInfo(Incarnation.of(i), "w" + i, "zone-" + i % ZONES, "rack", SLOTS);
            dispatcher.agentConnected(now, info);
            dispatcher.heartbeatReceived(now, info.incarnation(), STATE);
            dispatcher.slotsGranted(now, info.incarnation(), SLOTS);
        }
        for (int i = 0; i < workers * SLOTS + queued; i++) {
            submit();
        }
    }

    /** Processes a result, the grant that comes with it, and a new submission. */
    @Benchmark
    public void task() {
        now += STEP_NANOS;
        OrderSink.SentOrder order = orders.removeOldest();
        dispatcher.resultReceived(now, order.agent(), order.number(), TaskStatus.COMPLETE, ANSWER, RUN_NANOS);
        dispatcher.slotsGranted(now, order.agent(), 1);
        submit();
        dispatcher.tick(now);
    }

    /**
     * Processes an agent's heartbeat and computes the number of slots to request from it.
     *
     * @return the number of slots to request
     */
    @Benchmark
    public int heartbeat() {
        now += STEP_NANOS;
        nextAgent++;
        Incarnation agent = Incarnation.of(nextAgent % workers + 1);
        dispatcher.heartbeatReceived(now, agent, STATE);
        return dispatcher.wantedSlots(now, agent);
    }

    private void submit() {
        String id = Long.toString(++nextId);
        String customer = "team-" + nextId % CUSTOMERS;
        dispatcher.submit(now, new Submission(id, "s", customer, List.of(TASK), now, now + TIMEOUT_NANOS, true));
    }
}
