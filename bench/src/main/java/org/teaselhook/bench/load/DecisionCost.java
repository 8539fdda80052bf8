package org.teaselhook.bench.load;

import java.io.PrintWriter;
import java.util.List;
import java.util.Random;
import java.util.Set;

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

/** Measures the dispatcher's time per task as a function of the number of workers and the queue length. */
final class DecisionCost {

    private static final int SLOTS = 8;
    private static final int ROUNDS = 200_000;
    private static final int WARM_UP_ROUNDS = 100_000;
    private static final long TIMEOUT_NANOS = 3_600_000_000_000L;
    private static final long RUN_NANOS = 100_000_000L;
    private static final TaskRequest TASK = TaskRequest.of("photo-check", "text/plain", new byte[64], true, RUN_NANOS);
    private static final Answer ANSWER = Answer.of(200, "text/plain", new byte[64]);

    private final OrderSink sink = new OrderSink();
    private final Dispatcher dispatcher;
    private long now = 1;
    private long nextId;

    private DecisionCost(long seed, int workers) {
        dispatcher = new Dispatcher(DispatcherSettings.of("zone-0"), sink, new Random(seed));
        dispatcher.applyRules(now, Rules.empty(), 1);
        dispatcher.setServing(now, true);
        for (int i = 1; i <= workers; i++) {
            AgentInfo info = new AgentInfo(Incarnation.of(i), "w" + i, "zone-" + i % 3, "rack", SLOTS);
            dispatcher.agentConnected(now, info);
            dispatcher.heartbeatReceived(now, info.incarnation(), new AgentState(Set.of("s"), false, 1, 0));
            dispatcher.slotsGranted(now, info.incarnation(), SLOTS);
        }
    }

    static void report(long seed, PrintWriter out) {
        for (int workers : List.of(100, 900, 3_600)) {
            for (int queued : List.of(0, 1_000, 10_000)) {
                DecisionCost cost = new DecisionCost(seed, workers);
                cost.fill(workers * SLOTS + queued);
                cost.runRounds(WARM_UP_ROUNDS);
                long nanos = cost.runRounds(ROUNDS);
                out.printf(
                        "case=decisions seed=%d workers=%d queued=%d rounds=%d nanos_per_task=%d%n",
                        seed, workers, queued, ROUNDS, nanos / ROUNDS);
                out.flush();
            }
        }
    }

    /** Submits tasks until every slot is busy and the rest wait in the queue. */
    private void fill(int tasks) {
        for (int i = 0; i < tasks; i++) {
            submit();
        }
    }

    /** Repeatedly completes a task, grants its slot again and submits another; returns the elapsed nanoseconds. */
    private long runRounds(int count) {
        long start = System.nanoTime();
        for (int i = 0; i < count; i++) {
            now += 1_000;
            OrderSink.SentOrder order = sink.removeOldest();
            dispatcher.resultReceived(now, order.agent(), order.number(), TaskStatus.COMPLETE, ANSWER, RUN_NANOS);
            dispatcher.slotsGranted(now, order.agent(), 1);
            submit();
            dispatcher.tick(now);
        }
        return System.nanoTime() - start;
    }

    private void submit() {
        String id = Long.toString(++nextId);
        String customer = "team-" + nextId % 250;
        dispatcher.submit(now, new Submission(id, "s", customer, List.of(TASK), now, now + TIMEOUT_NANOS, true));
    }
}
