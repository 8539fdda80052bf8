package org.teaselhook.core.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Answer;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.placement.PlacementPolicy;
import org.teaselhook.core.queue.KeyedHeap;
import org.teaselhook.core.rules.Rules;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Runs a dispatcher against simulated agents with random faults and checks its invariants. A failure reports the seed;
 * the same seed gives the same run.
 */
public final class DispatcherRandomisedTest implements DispatchOutput {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long RUN_NANOS = 60 * SECOND;
    private static final long FAULT_NANOS = 50 * SECOND;
    private static final String[] ZONES = {"ernakulam", "thrissur", "kottayam"};

    private final Map<Incarnation, FakeAgent> agents = new HashMap<>();
    private final Map<String, Submission> submissions = new HashMap<>();
    private final Map<String, Outcome> outcomes = new HashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Set<Long> numbers = new HashSet<>();
    private final Set<Incarnation> agentsWithRequests = new HashSet<>();
    private KeyedHeap<Runnable> events;
    private Random random;
    private Dispatcher dispatcher;
    private PlacementPolicy policy;
    private Set<String> zonesOut;
    private boolean serving;
    private boolean faultsEnabled;
    private long now;
    private long version;
    private int nextAgent;
    private int nextSubmission;

    // -- simulation

    @DataProvider
    public Object[][] seeds() {
        long first = Long.getLong("teaselhook.seed", 1);
        long count = Long.getLong("teaselhook.seeds", 12);
        return LongStream.range(first, first + count)
                .mapToObj(
                        seed -> new Object[] {seed, PlacementPolicy.values()[(int) (seed % 4 == 3 ? seed / 4 % 3 : 0)]})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void shouldHoldInvariantsUnderFaults(long seed, PlacementPolicy placement) {
        start(seed, placement);
        for (int i = 0; i < 11; i++) {
            addAgent(ZONES[i % 3]);
        }
        schedule(0, this::generateArrivals);
        schedule(0, this::refreshAllGrants);
        schedule(SECOND, this::injectFaults);
        runEvents();
        checkOutcomes();
        System.out.printf("seed=%d policy=%s %s%n", seed, placement, dispatcher.stats());
    }

    private void start(long seed, PlacementPolicy placement) {
        agents.clear();
        submissions.clear();
        outcomes.clear();
        starts.clear();
        numbers.clear();
        agentsWithRequests.clear();
        events = KeyedHeap.empty();
        random = new Random(seed);
        policy = placement;
        now = seed * SECOND;
        version = 1;
        zonesOut = new HashSet<>();
        serving = true;
        faultsEnabled = true;
        dispatcher = new Dispatcher(DispatcherSettings.of(ZONES[0], placement), this, new Random(seed));
        dispatcher.applyRules(now, rules(), version);
        dispatcher.setServing(now, true);
        schedule(FAULT_NANOS, this::endFaults);
    }

    private void runEvents() {
        long end = now + RUN_NANOS;
        while (now < end) {
            long nextEvent = events.peek().map(KeyedHeap.Handle::key).orElse(Long.MAX_VALUE);
            long nextTick = dispatcher.nextTickAt();
            now = Math.max(now, Math.min(nextEvent, nextTick));
            if (nextTick <= nextEvent) {
                dispatcher.tick(now);
            } else {
                KeyedHeap.Handle<Runnable> event = events.peek().orElseThrow();
                events.remove(event);
                event.value().run();
            }
        }
    }

    private void checkOutcomes() {
        for (Submission submission : submissions.values()) {
            Outcome outcome = outcomes.get(submission.id());
            assertTrue(outcome != null, "not answered: " + submission.id());
            outcome.fold(complete -> checkComplete(submission, complete), notRun -> checkNotRun(submission), m -> true);
        }
        assertEquals(dispatcher.activeSubmissions(), 0);
        long complete = outcomes.values().stream()
                .filter(o -> o instanceof Outcome.Complete)
                .count();
        assertTrue(complete > submissions.size() / 2, "complete=" + complete + " of " + submissions.size());
    }

    private boolean checkComplete(Submission submission, Outcome.Complete complete) {
        for (int i = 0; i < submission.size(); i++) {
            byte[] expected = submission.tasks().get(i).body();
            assertEquals(complete.answers().get(i).body(), expected, submission.id());
        }
        return true;
    }

    private boolean checkNotRun(Submission submission) {
        for (int i = 0; i < submission.size(); i++) {
            assertFalse(starts.containsKey(submission.id() + "/" + i), "not run but started: " + submission.id());
        }
        return true;
    }

    // -- load

    /** Arrivals stop with the faults, so that every deadline passes within the simulation. */
    private void generateArrivals() {
        if (!faultsEnabled) {
            return;
        }
        submitOne();
        schedule((long) (-Math.log(1 - random.nextDouble()) * 8 * MILLI), this::generateArrivals);
    }

    private void submitOne() {
        String id = "s" + nextSubmission++;
        boolean job = random.nextInt(20) == 0;
        boolean idempotent = random.nextBoolean();
        int size = job ? 1 + random.nextInt(40) : 1;
        List<TaskRequest> tasks = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            byte[] body = (id + "/" + i).getBytes(StandardCharsets.UTF_8);
            tasks.add(TaskRequest.of("kind" + random.nextInt(3), "text/plain", body, idempotent, 100 * MILLI));
        }
        long timeout = (500 + random.nextInt(4_000)) * MILLI;
        boolean atMostOnce = job || !idempotent;
        Submission submission =
                new Submission(id, "patchdesk", "c" + random.nextInt(3), tasks, now, now + timeout, atMostOnce);
        submissions.put(id, submission);
        dispatcher.submit(now, submission);
        if (random.nextInt(30) == 0) {
            schedule(random.nextInt(300) * MILLI, () -> dispatcher.cancel(now, id));
        }
    }

    // -- agents

    private FakeAgent addAgent(String zone) {
        FakeAgent agent = new FakeAgent(++nextAgent, "agent" + nextAgent, zone, 8);
        agents.put(agent.id(), agent);
        connect(agent);
        return agent;
    }

    private void connect(FakeAgent agent) {
        if (agent.crashed) {
            return;
        }
        agent.connection++;
        agent.disconnected = false;
        agent.granted = 0;
        long[] inProgress = dispatcher.agentConnected(now, agent.info);
        dispatcher.heartbeatReceived(now, agent.id(), agent.state(version));
        for (long number : inProgress) {
            reportOrder(agent, number);
        }
    }

    private void reportOrder(FakeAgent agent, long number) {
        if (agent.retained.containsKey(number)) {
            sendResult(agent, number);
        } else if (!agent.hasSeen(number) || agent.refused.contains(number)) {
            sendRefusal(agent, number, RefusalReason.NEVER_ARRIVED);
        }
    }

    private void refreshAllGrants() {
        for (FakeAgent agent : agents.values()) {
            grant(agent);
            if (agent.granted > 0 && random.nextInt(10) == 0) {
                deliver(agent, () -> dispatcher.reclaimGrants(now, agent.id(), 1));
            }
            int open = random.nextInt(3);
            deliver(agent, () -> {
                dispatcher.openSlotsReported(now, agent.id(), open);
                dispatcher.heartbeatReceived(now, agent.id(), agent.state(version));
            });
        }
        schedule(100 * MILLI, this::refreshAllGrants);
    }

    private void grant(FakeAgent agent) {
        int free = agent.free();
        boolean canGrant = policy.usesGrants() && !agent.leaving && !agent.disconnected && !agent.crashed;
        if (canGrant && free > 0) {
            agent.granted += free;
            deliver(agent, () -> dispatcher.slotsGranted(now, agent.id(), free));
        }
    }

    private void receive(FakeAgent agent, DispatchOrder order) {
        if (!agent.seen.add(order.number())) {
            return;
        }
        Optional<RefusalReason> refusal = refusalOf(agent, order);
        if (order.granted()) {
            agent.granted--;
            assertTrue(agent.granted >= 0, "more orders than grants: " + agent.info);
        }
        if (refusal.isPresent()) {
            sendRefusal(agent, order.number(), refusal.get());
            return;
        }
        start(agent, order);
    }

    private Optional<RefusalReason> refusalOf(FakeAgent agent, DispatchOrder order) {
        if (agent.leaving) {
            return Optional.of(RefusalReason.LEAVING);
        }
        if (now > order.startBy()) {
            return Optional.of(RefusalReason.START_BY_PASSED);
        }
        if (!order.granted() && agent.free() <= 0) {
            return Optional.of(RefusalReason.NO_FREE_SLOT);
        }
        boolean connectFails = faultsEnabled && random.nextInt(100) == 0;
        return connectFails ? Optional.of(RefusalReason.CONNECT_FAILED) : Optional.empty();
    }

    private void start(FakeAgent agent, DispatchOrder order) {
        String task = order.submissionId() + "/" + order.taskIndex();
        int count = starts.merge(task, 1, Integer::sum);
        boolean atMostOnce = submissions.get(order.submissionId()).atMostOnce();
        assertTrue(!atMostOnce || count == 1, "at-most-once task started twice: " + task);
        agent.running.put(order.number(), order);
        boolean fails = agent.failsAlways || faultsEnabled && random.nextInt(200) == 0;
        long run = fails ? MILLI : (long) ((20 + random.nextInt(200)) * MILLI * agent.slowness);
        schedule(run, () -> finish(agent, order, fails, run));
    }

    private void finish(FakeAgent agent, DispatchOrder order, boolean fails, long run) {
        if (agent.crashed) {
            return;
        }
        agent.running.remove(order.number());
        TaskStatus failure = random.nextBoolean() ? TaskStatus.TARGET_ERROR : TaskStatus.UNKNOWN;
        TaskStatus status = fails ? failure : TaskStatus.COMPLETE;
        Answer answer = Answer.of(fails ? 500 : 200, "text/plain", order.task().body());
        agent.retained.put(order.number(), new FakeAgent.RetainedResult(status, answer, run));
        sendResult(agent, order.number());
        grant(agent);
    }

    private void sendResult(FakeAgent agent, long number) {
        FakeAgent.RetainedResult result = agent.retained.get(number);
        int copies = faultsEnabled && random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            deliver(
                    agent,
                    () -> dispatcher.resultReceived(
                            now, agent.id(), number, result.status(), result.answer(), result.runNanos()));
        }
    }

    private void sendRefusal(FakeAgent agent, long number, RefusalReason reason) {
        agent.seen.add(number);
        agent.refused.add(number);
        deliver(agent, () -> dispatcher.refusalReceived(now, agent.id(), number, reason));
    }

    // -- frames

    /** Delivers in order on one connection; a broken connection loses the frames in flight. */
    private void deliver(FakeAgent agent, Runnable frame) {
        int connection = agent.connection;
        schedule(MILLI, () -> {
            if (agent.connection == connection && !agent.disconnected && !agent.crashed) {
                frame.run();
            }
        });
    }

    @Override
    public void dispatch(DispatchOrder order) {
        assertTrue(numbers.add(order.number()), "number used twice: " + order.number());
        FakeAgent agent = agents.get(order.agent());
        assertTrue(serving, "started while not serving");
        assertFalse(zonesOut.contains(agent.info.zone()), "started in a zone out of service");
        deliver(agent, () -> receive(agent, order));
    }

    @Override
    public void cancel(Incarnation agentId, long number) {
        FakeAgent agent = agents.get(agentId);
        deliver(agent, () -> {
            if (!agent.hasSeen(number)) {
                sendRefusal(agent, number, RefusalReason.CANCELLED);
            }
        });
    }

    @Override
    public void ack(Incarnation agentId, long number) {
        FakeAgent agent = agents.get(agentId);
        deliver(agent, () -> agent.retained.remove(number));
    }

    @Override
    public void submissionAnswered(String submissionId, Outcome outcome) {
        Submission submission = submissions.get(submissionId);
        assertTrue(now <= submission.deadline() + MILLI, "answered late: " + submissionId);
        assertTrue(outcomes.put(submissionId, outcome) == null, "answered twice: " + submissionId);
    }

    @Override
    public void returnGrants(Incarnation agentId, int slots) {
        FakeAgent agent = agents.get(agentId);
        deliver(agent, () -> agent.granted -= slots);
    }

    @Override
    public void requestSlots(Incarnation agentId, int slots) {
        assertTrue(slots >= 0 && slots <= 8, "slots=" + slots);
        boolean requestedBefore = slots > 0 ? !agentsWithRequests.add(agentId) : agentsWithRequests.remove(agentId);
        assertTrue(slots > 0 || requestedBefore, "withdrawn without a request: " + agentId);
        assertEquals(slots > 0, dispatcher.stats().queued() > 0, "slots=" + slots);
    }

    @Override
    public void recordDecision(Decision decision) {
        assertFalse(decision.reason().isEmpty());
    }

    // -- faults

    private void injectFaults() {
        if (!faultsEnabled) {
            return;
        }
        FakeAgent agent = randomAgent();
        switch (random.nextInt(8)) {
            case 0, 1 -> cutConnection(agent);
            case 2 -> crash(agent);
            case 3 -> takeZoneOut(ZONES[random.nextInt(3)]);
            case 4 -> startLeaving(agent);
            case 5 -> agent.failsAlways = !agent.failsAlways;
            case 6 -> agent.slowness = agent.slowness > 1 ? 1 : 10;
            default -> stopServing();
        }
        schedule(random.nextInt(2_000) * MILLI, this::injectFaults);
    }

    private FakeAgent randomAgent() {
        List<FakeAgent> runningAgents =
                agents.values().stream().filter(a -> !a.crashed).toList();
        return runningAgents.get(random.nextInt(runningAgents.size()));
    }

    private void cutConnection(FakeAgent agent) {
        agent.disconnected = true;
        int connection = agent.connection;
        boolean returns = random.nextInt(3) > 0;
        schedule(2 * SECOND, () -> {
            if (agent.connection == connection) {
                dispatcher.agentUnresponsive(now, agent.id());
            }
        });
        schedule((returns ? 500 + random.nextInt(3_000) : 12_000) * MILLI, () -> connect(agent));
        schedule(8 * SECOND, () -> {
            if (agent.connection == connection) {
                dispatcher.agentLost(now, agent.id());
            }
        });
    }

    private void crash(FakeAgent agent) {
        agent.crashed = true;
        schedule(2 * SECOND, () -> dispatcher.agentUnresponsive(now, agent.id()));
        schedule(2_500 * MILLI, () -> dispatcher.agentLost(now, agent.id()));
        schedule(SECOND, () -> addAgent(agent.info.zone()));
    }

    private void startLeaving(FakeAgent agent) {
        agent.leaving = true;
        schedule(3 * SECOND, () -> crash(agent));
    }

    private void takeZoneOut(String zone) {
        zonesOut.add(zone);
        dispatcher.applyRules(now, rules(), ++version);
        schedule(3 * SECOND, () -> restoreZone(zone));
    }

    private void restoreZone(String zone) {
        zonesOut.remove(zone);
        dispatcher.applyRules(now, rules(), ++version);
    }

    private void stopServing() {
        serving = false;
        dispatcher.setServing(now, false);
        schedule(500 * MILLI, () -> {
            serving = true;
            dispatcher.setServing(now, true);
        });
    }

    private void endFaults() {
        faultsEnabled = false;
        agents.values().forEach(agent -> agent.failsAlways = false);
    }

    private Rules rules() {
        return Rules.of(List.of(), List.of(), zonesOut);
    }

    private void schedule(long nanos, Runnable event) {
        events.add(now + nanos, event);
    }
}
