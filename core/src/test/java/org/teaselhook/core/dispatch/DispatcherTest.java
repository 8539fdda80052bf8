package org.teaselhook.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Answer;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.placement.PlacementPolicy;
import org.teaselhook.core.rules.CustomerRule;
import org.teaselhook.core.rules.Rules;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public final class DispatcherTest {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final Answer ANSWER = Answer.of(200, "text/plain", new byte[] {1});

    private RecordingOutput output;
    private Dispatcher dispatcher;
    private long now;

    @BeforeMethod
    public void start() {
        output = new RecordingOutput();
        dispatcher = new Dispatcher(DispatcherSettings.of("thrissur", PlacementPolicy.GRANTS), output, new Random(1));
        now = 100 * SECOND;
        dispatcher.applyRules(now, rules(Set.of()), 1);
        dispatcher.setServing(now, true);
    }

    private static Rules rules(Set<String> zonesOut) {
        return Rules.of(List.of(), List.of(new CustomerRule("small", 1, 2)), zonesOut);
    }

    private Incarnation connectAgent(long incarnation, String zone, int slots) {
        AgentInfo info = new AgentInfo(Incarnation.of(incarnation), "w" + incarnation, zone, "r1", slots);
        dispatcher.agentConnected(now, info);
        dispatcher.heartbeatReceived(now, info.incarnation(), state(false));
        dispatcher.slotsGranted(now, info.incarnation(), slots);
        return info.incarnation();
    }

    private static AgentState state(boolean leaving) {
        return new AgentState(Set.of("patchdesk"), leaving, 1, 0);
    }

    private void submit(String id, int size, boolean atMostOnce, long timeoutNanos) {
        submit(id, "pandal", size, atMostOnce, timeoutNanos);
    }

    private void submit(String id, String customer, int size, boolean atMostOnce, long timeoutNanos) {
        List<TaskRequest> tasks = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            tasks.add(TaskRequest.of("photo", "text/plain", new byte[0], !atMostOnce, 100 * MILLI));
        }
        dispatcher.submit(now, new Submission(id, "patchdesk", customer, tasks, now, now + timeoutNanos, atMostOnce));
    }

    private void result(DispatchOrder order, TaskStatus status) {
        dispatcher.resultReceived(now, order.agent(), order.number(), status, ANSWER, 100 * MILLI);
    }

    private void complete(int tasks, long runNanos) {
        for (int i = 0; i < tasks; i++) {
            submit("learn" + i, 1, false, 5 * SECOND);
            DispatchOrder order = output.lastOrder();
            dispatcher.resultReceived(now, order.agent(), order.number(), TaskStatus.COMPLETE, ANSWER, runNanos);
            dispatcher.slotsGranted(now, order.agent(), 1);
        }
    }

    private void tickUntil(long until) {
        while (dispatcher.nextTickAt() <= until) {
            now = Math.max(now, dispatcher.nextTickAt());
            dispatcher.tick(now);
        }
        now = until;
    }

    // -- resultReceived

    @Test
    public void shouldCompleteJobOnlyWhenEveryTaskIsComplete() {
        connectAgent(1, "thrissur", 3);
        submit("job", 3, true, 5 * SECOND);
        result(output.orders.get(2), TaskStatus.COMPLETE);
        result(output.orders.get(0), TaskStatus.COMPLETE);
        assertEquals(output.outcomeOf("job"), "open");
        result(output.orders.get(1), TaskStatus.COMPLETE);
        result(output.orders.get(1), TaskStatus.COMPLETE);
        assertEquals(output.outcomeOf("job"), "complete");
        assertEquals(dispatcher.stats().unknownResults(), 1);
    }

    @DataProvider
    public Object[][] ends() {
        return new Object[][] {
            {true, TaskStatus.TARGET_ERROR, 1, "may-have-run TARGET_FAILED"},
            {true, TaskStatus.UNKNOWN, 1, "may-have-run TARGET_FAILED"},
            {false, TaskStatus.TARGET_ERROR, 2, "open"},
            {false, TaskStatus.UNKNOWN, 2, "open"},
        };
    }

    @Test(dataProvider = "ends")
    public void shouldRetryAfterPossibleStartUnlessAtMostOnce(
            boolean atMostOnce, TaskStatus status, int orders, String outcome) {
        connectAgent(1, "thrissur", 2);
        connectAgent(2, "kottayam", 2);
        submit("s", 1, atMostOnce, 5 * SECOND);
        result(output.lastOrder(), status);
        assertEquals(output.orders.size(), orders);
        assertEquals(output.outcomeOf("s"), outcome);
        assertTrue(orders == 1
                || !output.orders.get(0).agent().equals(output.orders.get(1).agent()));
    }

    @Test
    public void shouldFailJobImmediatelyAndDropItsOtherTasks() {
        connectAgent(1, "thrissur", 2);
        submit("job", 4, true, 5 * SECOND);
        result(output.orders.get(0), TaskStatus.TARGET_ERROR);
        assertEquals(output.outcomeOf("job"), "may-have-run TARGET_FAILED");
        assertEquals(output.cancelled, List.of(output.orders.get(1).number()));
        assertEquals(dispatcher.stats().queued(), 0);
    }

    // -- refusalReceived

    @DataProvider
    public Object[][] reasons() {
        return java.util.Arrays.stream(RefusalReason.values())
                .map(reason -> new Object[] {reason})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "reasons")
    public void shouldResendRefusedAtMostOnceTaskUnderNewNumber(RefusalReason reason) {
        connectAgent(1, "thrissur", 1);
        connectAgent(2, "thrissur", 1);
        submit("booking", 1, true, 5 * SECOND);
        DispatchOrder first = output.lastOrder();
        dispatcher.refusalReceived(now, first.agent(), first.number(), reason);
        assertEquals(output.orders.size(), 2);
        assertTrue(output.lastOrder().number() > first.number());
        result(first, TaskStatus.COMPLETE);
        assertEquals(output.outcomeOf("booking"), "open");
    }

    @Test
    public void shouldAnswerNotRunWhenEveryOrderWasRefused() {
        Incarnation agent = connectAgent(1, "thrissur", 1);
        submit("booking", 1, true, SECOND);
        dispatcher.refusalReceived(now, agent, output.lastOrder().number(), RefusalReason.LEAVING);
        tickUntil(now + 2 * SECOND);
        assertEquals(output.outcomeOf("booking"), "not-run OVERLOADED");
    }

    // -- agentUnresponsive, agentLost, agentConnected

    @DataProvider
    public Object[][] losses() {
        return new Object[][] {{true, "may-have-run WORKER_LOST", 1}, {false, "open", 2}};
    }

    @Test(dataProvider = "losses")
    public void shouldRetryOrFailTasksOfLostWorker(boolean atMostOnce, String outcome, int orders) {
        Incarnation lost = connectAgent(1, "thrissur", 1);
        submit("s", 1, atMostOnce, 5 * SECOND);
        connectAgent(2, "thrissur", 1);
        dispatcher.agentUnresponsive(now, lost);
        assertEquals(output.orders.size(), orders);
        assertEquals(output.outcomeOf("s"), "open");
        dispatcher.agentLost(now, lost);
        assertEquals(output.outcomeOf("s"), outcome);
        assertEquals(output.orders.size(), orders);
    }

    @Test
    public void shouldReturnOrdersInProgressAndDropGrantsOnReconnect() {
        Incarnation agent = connectAgent(1, "thrissur", 4);
        submit("a", 1, true, 5 * SECOND);
        AgentInfo info = new AgentInfo(agent, "w1", "thrissur", "r1", 4);
        assertEquals(
                dispatcher.agentConnected(now, info),
                new long[] {output.lastOrder().number()});
        submit("b", 1, true, 5 * SECOND);
        assertEquals(output.orders.size(), 1);
        dispatcher.slotsGranted(now, agent, 1);
        assertEquals(output.orders.size(), 2);
    }

    // -- openSlotsReported

    @Test
    public void shouldSendWithoutGrantWhenSlotsAreOpen() {
        Incarnation granted = connectAgent(1, "kottayam", 1);
        Incarnation open = connectAgent(2, "kottayam", 2);
        dispatcher.reclaimGrants(now, open, 2);
        dispatcher.openSlotsReported(now, open, 3);
        submit("job", 4, true, 5 * SECOND);
        assertEquals(output.orders.stream().map(DispatchOrder::agent).toList(), List.of(granted, open, open));
        assertEquals(output.orders.stream().map(DispatchOrder::granted).toList(), List.of(true, false, false));
        assertEquals(dispatcher.stats().queued(), 1);
    }

    @Test
    public void shouldWaitForGrantAfterTwoRefusals() {
        Incarnation open = connectAgent(1, "kottayam", 4);
        dispatcher.reclaimGrants(now, open, 4);
        dispatcher.openSlotsReported(now, open, 4);
        submit("s", 1, true, 5 * SECOND);
        for (int i = 0; i < 3; i++) {
            dispatcher.refusalReceived(now, open, output.lastOrder().number(), RefusalReason.NO_FREE_SLOT);
            now += MILLI;
            dispatcher.openSlotsReported(now, open, 4);
            dispatcher.heartbeatReceived(now, open, state(false));
        }
        assertEquals(output.orders.size(), 2);

        dispatcher.slotsGranted(now, open, 1);
        assertEquals(output.orders.stream().map(DispatchOrder::granted).toList(), List.of(false, false, true));
    }

    /** A refusal makes the earlier reports of other workers' open slots stale too. */
    @Test
    public void shouldIgnoreOpenSlotsReportedBeforeRefusal() {
        Incarnation first = connectAgent(1, "kottayam", 4);
        Incarnation second = connectAgent(2, "kottayam", 4);
        for (Incarnation agent : List.of(first, second)) {
            dispatcher.reclaimGrants(now, agent, 4);
            dispatcher.openSlotsReported(now, agent, 4);
        }
        submit("s", 1, true, 5 * SECOND);
        now += MILLI;
        dispatcher.refusalReceived(
                now, output.lastOrder().agent(), output.lastOrder().number(), RefusalReason.NO_FREE_SLOT);
        assertEquals(output.orders.size(), 1);

        now += MILLI;
        dispatcher.openSlotsReported(now, first, 4);
        dispatcher.openSlotsReported(now, second, 4);
        dispatcher.heartbeatReceived(now, second, state(false));
        assertEquals(output.orders.size(), 2);
    }

    /** Refusals of orders without a grant stay below a small share of the tasks, even if all reports are wrong. */
    @Test
    public void shouldStopSendingWithoutGrantWhenRefusalBudgetIsSpent() {
        Incarnation agent = connectAgent(1, "kottayam", 4);
        dispatcher.reclaimGrants(now, agent, 4);
        int refused = 0;
        for (int i = 0; i < 400; i++) {
            now += MILLI;
            dispatcher.openSlotsReported(now, agent, 4);
            submit("s" + i, 1, true, 60 * SECOND);
            while (refused < output.orders.size()) {
                long number = output.orders.get(refused++).number();
                dispatcher.refusalReceived(now, agent, number, RefusalReason.NO_FREE_SLOT);
            }
        }
        int savedRefusals = 5;
        int refusalsInFlight = 2;
        assertTrue(refused >= 2 && refused <= savedRefusals + refusalsInFlight + 0.005 * 400, "refused=" + refused);
    }

    @DataProvider
    public Object[][] waits() {
        return new Object[][] {{1, 2}, {3, 6}, {20, 8}};
    }

    /** Requests to too many workers would take slots from other entries without being used. */
    @Test(dataProvider = "waits")
    public void shouldRequestSlotsFromFewWorkersPerTask(int tasks, int requests) {
        for (int i = 1; i <= 8; i++) {
            dispatcher.reclaimGrants(now, connectAgent(i, "kottayam", 8), 8);
        }
        submit("s", tasks, true, 5 * SECOND);
        assertEquals(output.requested.size(), requests);
    }

    @Test
    public void shouldWithdrawRequestsWhenQueueIsEmpty() {
        Incarnation first = connectAgent(1, "kottayam", 1);
        Incarnation second = connectAgent(2, "kottayam", 1);
        dispatcher.reclaimGrants(now, first, 1);
        dispatcher.reclaimGrants(now, second, 1);
        submit("s", 1, true, 5 * SECOND);
        assertEquals(output.requested, Map.of(first, 1, second, 1));
        dispatcher.slotsGranted(now, first, 1);
        assertEquals(output.requested, Map.of(first, 1, second, 0));
    }

    // -- reclaimGrants, slotsGranted

    @Test
    public void shouldReturnOnlyUnusedGrants() {
        Incarnation agent = connectAgent(1, "thrissur", 2);
        submit("a", 1, true, 5 * SECOND);
        dispatcher.reclaimGrants(now, agent, 5);
        assertEquals(output.returned.get(agent), Integer.valueOf(1));
        submit("b", 1, true, 5 * SECOND);
        assertEquals(output.orders.size(), 1);
        assertEquals(output.requested.get(agent), Integer.valueOf(1));
    }

    @Test
    public void shouldReturnEveryGrantWhenPolicyUsesNoGrants() {
        dispatcher = new Dispatcher(DispatcherSettings.of("thrissur", PlacementPolicy.RANDOM), output, new Random(1));
        Incarnation agent = connectAgent(1, "thrissur", 2);
        assertEquals(output.returned.get(agent), Integer.valueOf(2));
        assertEquals(dispatcher.wantedSlots(now, agent), 0);
    }

    // -- applyRules, setServing, stopAdmission

    @Test
    public void shouldStartNoTaskInZoneThatIsOutAndRampUpOnReturn() {
        Incarnation agent = connectAgent(1, "thrissur", 8);
        connectAgent(2, "kottayam", 1);
        dispatcher.applyRules(now, rules(Set.of("thrissur")), 2);
        dispatcher.applyRules(now, rules(Set.of()), 1);
        submit("job", 8, true, 5 * SECOND);
        assertEquals(output.orders.size(), 1);
        dispatcher.applyRules(now, rules(Set.of()), 3);
        assertEquals(output.orders.size(), 3);
        assertEquals(output.lastOrder().agent(), agent);
    }

    @DataProvider
    public Object[][] refusals() {
        return new Object[][] {
            {(Runnable) () -> dispatcher.setServing(now, false), "not-run NOT_READY"},
            {(Runnable) () -> dispatcher.stopAdmission(now), "not-run STOPPING"},
            {(Runnable) () -> dispatcher.applyRules(now, rules(Set.of("thrissur")), 2), "not-run NO_WORKER"},
            {(Runnable) () -> dispatcher.heartbeatReceived(now, Incarnation.of(1), state(true)), "not-run NO_WORKER"},
        };
    }

    @Test(dataProvider = "refusals")
    public void shouldRefuseSubmissionThatCannotBeServed(Runnable change, String outcome) {
        connectAgent(1, "thrissur", 1);
        change.run();
        submit("s", 1, true, 5 * SECOND);
        assertEquals(output.outcomeOf("s"), outcome);
    }

    @Test
    public void shouldAnswerQueuedSubmissionsWhenConfigurationIsStale() {
        connectAgent(1, "thrissur", 1);
        submit("started", 1, true, 5 * SECOND);
        submit("queued", 1, true, 5 * SECOND);
        dispatcher.setServing(now, false);
        assertEquals(output.outcomeOf("queued"), "not-run NOT_READY");
        assertEquals(output.outcomeOf("started"), "open");
    }

    // -- submit

    @Test
    public void shouldRefuseSubmissionsBeyondQuota() {
        connectAgent(1, "thrissur", 1);
        submit("a", "small", 2, true, 5 * SECOND);
        submit("b", "small", 1, true, 5 * SECOND);
        submit("c", "small", 3, true, 5 * SECOND);
        assertEquals(output.outcomeOf("b"), "not-run QUOTA_EXCEEDED");
        assertEquals(output.outcomeOf("c"), "not-run NEVER_FITS");
        dispatcher.cancel(now, "a");
        submit("d", "small", 2, true, 5 * SECOND);
        assertEquals(output.outcomeOf("d"), "open");
    }

    @Test
    public void shouldRefuseWithRetryAfterWhenQueueExceedsDeadline() {
        connectAgent(1, "thrissur", 1);
        complete(10, 100 * MILLI);
        for (int i = 0; i < 8; i++) {
            submit("q" + i, 1, true, SECOND);
            assertEquals(output.outcomeOf("q" + i), "open");
        }
        submit("late", 1, true, SECOND / 2);
        submit("later", 1, true, 10 * SECOND);
        assertEquals(output.outcomeOf("late"), "open", "its latest start time is earlier than that of the others");
        assertEquals(output.outcomeOf("later"), "open");
        for (int i = 0; i < 8; i++) {
            submit("over" + i, 1, true, SECOND);
        }
        assertEquals(output.outcomeOf("over7"), "not-run OVERLOADED");
        Outcome.NotRun refused = (Outcome.NotRun) output.outcomes.get("over7");
        assertTrue(refused.problem().retryAfter().toMillis() >= 100);
    }

    @Test(dataProvider = "grantedSlots")
    public void shouldAdmitJobWhenSlotsJustBecameAvailable(int granted) {
        connectAgent(1, "thrissur", 1);
        complete(10, 100 * MILLI);
        submit("slow", 2, true, 10 * SECOND);
        tickUntil(now + 3 * SECOND);
        result(output.lastOrder(), TaskStatus.TARGET_ERROR);
        dispatcher.reclaimGrants(now, connectAgent(2, "thrissur", 16), 16 - granted);
        submit("job", 20, true, 600 * MILLI);
        assertEquals(output.outcomeOf("job"), "open");
    }

    @DataProvider
    public Object[][] grantedSlots() {
        return new Object[][] {{16}, {0}};
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{1, 50L, "not-run NEVER_FITS"}, {60, 2_000L, "not-run NEVER_FITS"}, {10, 2_000L, "open"}
        };
    }

    @Test(dataProvider = "sizes")
    public void shouldRefuseJobThatAllWorkersCouldNotFinish(int tasks, long timeoutMillis, String outcome) {
        connectAgent(1, "thrissur", 2);
        complete(10, 100 * MILLI);
        submit("s", tasks, true, timeoutMillis * MILLI);
        assertEquals(output.outcomeOf("s"), outcome);
    }

    // -- tick

    @DataProvider
    public Object[][] deadlines() {
        return new Object[][] {{1, "may-have-run TIMED_OUT"}, {0, "not-run OVERLOADED"}};
    }

    @Test(dataProvider = "deadlines")
    public void shouldAnswerByDeadline(int slots, String outcome) {
        connectAgent(1, "thrissur", 1);
        if (slots == 0) {
            submit("first", 1, true, 5 * SECOND);
        }
        submit("s", 1, true, SECOND);
        long deadline = now + SECOND;
        tickUntil(deadline);
        assertEquals(output.outcomeOf("s"), outcome);
    }

    @Test
    public void shouldHedgeSlowIdempotentRequestOnAnotherWorker() {
        connectAgent(1, "thrissur", 4);
        connectAgent(2, "thrissur", 4);
        complete(20, 100 * MILLI);
        int before = output.orders.size();
        submit("slow", 1, false, 5 * SECOND);
        submit("booking", 1, true, 5 * SECOND);
        tickUntil(now + 400 * MILLI);
        assertEquals(output.orders.size(), before + 3);
        DispatchOrder hedge = output.lastOrder();
        assertEquals(hedge.submissionId(), "slow");
        result(hedge, TaskStatus.COMPLETE);
        assertEquals(output.outcomeOf("slow"), "complete");
        assertEquals(output.cancelled.size(), 1);
        assertFalse(output.acked.isEmpty());
    }

    @Test
    public void shouldNotHedgeWhenRunTimeIsOnlyDeclared() {
        connectAgent(1, "thrissur", 4);
        connectAgent(2, "thrissur", 4);
        submit("unknown", 1, false, 5 * SECOND);
        tickUntil(now + 900 * MILLI);
        assertEquals(output.orders.size(), 1);
        assertEquals(dispatcher.stats().hedges(), 0);
    }

    // -- cancel

    @Test
    public void shouldEmptyQueueImmediatelyWhenAllAreCancelled() {
        Incarnation agent = connectAgent(1, "thrissur", 2);
        for (int i = 0; i < 1_000; i++) {
            submit("s" + i, 1, true, 600 * SECOND);
        }
        for (int i = 0; i < 1_000; i++) {
            dispatcher.cancel(now, "s" + i);
        }
        assertEquals(dispatcher.stats().queued(), 0);
        assertEquals(output.cancelled.size(), 2);
        assertEquals(output.outcomeOf("s0"), "may-have-run CANCELLED");
        assertEquals(output.outcomeOf("s999"), "not-run CANCELLED");
        assertEquals(dispatcher.activeSubmissions(), 0);
        assertEquals(dispatcher.wantedSlots(now, agent), 0);
    }
}
