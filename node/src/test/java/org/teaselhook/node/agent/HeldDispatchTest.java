package org.teaselhook.node.agent;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.net.http.HttpResult;
import org.teaselhook.wire.RefusalReason;
import org.teaselhook.wire.TaskRefusal;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests of dispatches without a grant while every free slot is granted to another entry. */
public final class HeldDispatchTest {

    private static final Incarnation SECOND = Incarnation.of(7);

    private AgentFixture agent;
    private FakeStream first;
    private FakeStream second;

    @BeforeMethod
    public void connect() {
        agent = new AgentFixture();
        first = agent.connectEntry();
        second = agent.connectAnotherEntry(first, SECOND);
    }

    @Test
    public void shouldStartHeldDispatchWhenIdleGrantIsReturned() {
        agent.dispatchUngranted(second, 5);
        assertEquals(agent.startedNumbers, List.of());
        assertEquals(reclaims(first), 1);

        agent.returnSlots(first, 1);

        assertEquals(agent.startedNumbers, List.of(5L));
        assertEquals(second.granted(), 0);
        assertEquals(agent.control.status().granted(), AgentFixture.SLOTS - 1);
    }

    @Test
    public void shouldRefuseHeldDispatchWhenNoGrantIsReturned() {
        agent.dispatchUngranted(second, 5);
        for (long number = 1; number <= AgentFixture.SLOTS; number++) {
            agent.dispatch(first, 10 + number);
        }
        agent.returnSlots(first, 0);

        assertEquals(reasons(second), List.of(RefusalReason.NO_FREE_SLOT));
        agent.dispatchUngranted(second, 5);
        assertEquals(agent.startedNumbers, List.of(11L, 12L, 13L, 14L));
    }

    @Test
    public void shouldRefuseHeldDispatchAfterMaximumHoldTime() {
        agent.dispatchUngranted(second, 5);
        assertEquals(agent.expiryTimesNanos, List.of(agent.nowNanos + HeldDispatches.MAX_HOLD_NANOS));

        agent.nowNanos += HeldDispatches.MAX_HOLD_NANOS;
        agent.control.expireHeld(agent.nowNanos);

        assertEquals(reasons(second), List.of(RefusalReason.NO_FREE_SLOT));
        agent.returnSlots(first, 1);
        assertEquals(agent.startedNumbers, List.of());
    }

    @DataProvider
    public Object[][] ends() {
        Runnable cancelled = () -> agent.cancel(second, 5);
        Runnable disconnected = () -> agent.links.streamEnded(second, "closed", agent.nowNanos);
        Runnable leaving = () -> agent.control.leave(agent.nowNanos);
        return new Object[][] {
            {cancelled, List.of(RefusalReason.CANCELLED)},
            {disconnected, List.of()},
            {leaving, List.of(RefusalReason.LEAVING)},
        };
    }

    @Test(dataProvider = "ends")
    public void shouldNotStartDispatchThatIsNoLongerHeld(Runnable end, List<RefusalReason> reasons) {
        agent.dispatchUngranted(second, 5);
        end.run();
        agent.returnSlots(first, 1);

        assertEquals(agent.startedNumbers, List.of());
        assertEquals(reasons(second), reasons);
    }

    @Test
    public void shouldResolveHeldDispatchOnReconnect() {
        agent.dispatchUngranted(second, 5);
        agent.hello(second, SECOND, 5);
        agent.returnSlots(first, 1);

        assertEquals(reasons(second), List.of(RefusalReason.NEVER_ARRIVED));
        assertEquals(agent.startedNumbers, List.of());
    }

    @Test
    public void shouldNotBeDrainedWhileDispatchIsHeld() {
        assertTrue(agent.control.isDrained(second));
        agent.dispatchUngranted(second, 5);

        assertFalse(agent.control.isDrained(second));
    }

    // -- randomised

    /** An entry that respects its grants, answers each reclaim once, and sends dispatches with and without grants. */
    private static final class Sender {
        private final FakeStream stream;
        private final List<Long> sent = new ArrayList<>();
        private int usedGrants;
        private int answeredReclaims;

        Sender(FakeStream stream) {
            this.stream = stream;
        }

        int grants() {
            return stream.granted() - usedGrants;
        }
    }

    @Test(dataProvider = "seeds")
    public void shouldDecideEachDispatchOnceAndNeverExceedSlots(long seed) {
        Random random = new Random(seed);
        Sender third = new Sender(agent.connectAnotherEntry(first, Incarnation.of(8)));
        List<Sender> senders = List.of(new Sender(first), new Sender(second), third);
        long sent = 0;
        for (int step = 0; step < 4_000; step++) {
            Sender sender = senders.get(random.nextInt(senders.size()));
            sent += step(sender, sent + 1, random);
            long running = agent.replies.stream().filter(r -> !r.isDone()).count();
            String context = "seed " + seed + " step " + step;
            assertEquals(agent.control.status().running(), running, context);
            assertTrue(running + agent.control.status().granted() <= AgentFixture.SLOTS, context);
        }
        agent.nowNanos += HeldDispatches.MAX_HOLD_NANOS;
        agent.control.expireHeld(agent.nowNanos);
        checkDecided(senders, sent);
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}};
    }

    /** Performs a random step, and returns the number of dispatches sent. */
    private int step(Sender sender, long number, Random random) {
        switch (random.nextInt(9)) {
            case 0, 1 -> {
                sender.sent.add(number);
                agent.dispatchUngranted(sender.stream, number);
                return 1;
            }
            case 2 -> {
                return dispatchGranted(sender, number);
            }
            case 3 -> agent.requestSlots(sender.stream, random.nextInt(3));
            case 4 -> cancelOne(sender, random);
            case 5 -> agent.control.expireHeld(agent.nowNanos += 1_000_000L);
            case 6 -> answerReclaims(sender, random);
            default -> finishOne(random);
        }
        return 0;
    }

    private int dispatchGranted(Sender sender, long number) {
        if (sender.grants() == 0) {
            return 0;
        }
        sender.usedGrants++;
        sender.sent.add(number);
        agent.dispatch(sender.stream, number);
        return 1;
    }

    private void answerReclaims(Sender sender, Random random) {
        if (reclaims(sender.stream) == sender.answeredReclaims) {
            return;
        }
        int requested = reclaims(sender.stream) - sender.answeredReclaims;
        int returned = Math.min(sender.grants(), random.nextInt(requested + 1));
        sender.answeredReclaims += requested;
        sender.usedGrants += returned;
        agent.returnSlots(sender.stream, returned);
    }

    private void cancelOne(Sender sender, Random random) {
        int back = 1 + random.nextInt(3);
        if (sender.sent.size() >= back) {
            agent.cancel(sender.stream, sender.sent.get(sender.sent.size() - back));
        }
    }

    private void finishOne(Random random) {
        List<CompletableFuture<HttpResult>> running =
                agent.replies.stream().filter(r -> !r.isDone()).toList();
        if (!running.isEmpty()) {
            running.get(random.nextInt(running.size())).complete(AgentFixture.DONE);
        }
    }

    /** Checks that each dispatch was either started or refused, and decided on only once. */
    private void checkDecided(List<Sender> senders, long sent) {
        Set<Long> decided = new HashSet<>();
        agent.startedNumbers.forEach(number -> assertTrue(decided.add(number), "started twice: " + number));
        for (Sender sender : senders) {
            sender.stream
                    .refusals()
                    .forEach(refusal ->
                            assertTrue(decided.add(refusal.getDispatch()), "decided twice: " + refusal.getDispatch()));
        }
        assertEquals(decided.stream().filter(number -> number <= sent).count(), sent);
    }

    // -- frames

    private static int reclaims(FakeStream stream) {
        return stream.frames().mapToInt(frame -> frame.getReclaim().getSlots()).sum();
    }

    private static List<RefusalReason> reasons(FakeStream stream) {
        return stream.refusals().stream().map(TaskRefusal::getReason).toList();
    }
}
