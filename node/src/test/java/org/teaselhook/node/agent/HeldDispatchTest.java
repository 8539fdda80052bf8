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

/** Dispatches without a grant while every free slot is granted to another entry. */
public final class HeldDispatchTest {

    private static final Incarnation SECOND = Incarnation.of(7);

    private AgentFixture agent;
    private FakeStream first;
    private FakeStream second;

    @BeforeMethod
    public void connect() {
        agent = new AgentFixture();
        first = agent.ready();
        second = agent.another(first, SECOND);
    }

    @Test
    public void shouldStartWhenAnIdleGrantComesBack() {
        agent.dispatchUngranted(second, 5);
        assertEquals(agent.startedNumbers, List.of());
        assertEquals(reclaims(first), 1);

        agent.giveBack(first, 1);

        assertEquals(agent.startedNumbers, List.of(5L));
        assertEquals(second.granted(), 0);
        assertEquals(agent.control.status().granted(), AgentFixture.SLOTS - 1);
    }

    @Test
    public void shouldRefuseWhenNoGrantComesBack() {
        agent.dispatchUngranted(second, 5);
        for (long number = 1; number <= AgentFixture.SLOTS; number++) {
            agent.dispatch(first, 10 + number);
        }
        agent.giveBack(first, 0);

        assertEquals(reasons(second), List.of(RefusalReason.NO_FREE_SLOT));
        agent.dispatchUngranted(second, 5);
        assertEquals(agent.startedNumbers, List.of(11L, 12L, 13L, 14L));
    }

    @Test
    public void shouldRefuseAfterABoundedTimeWhenNoAnswerComes() {
        agent.dispatchUngranted(second, 5);
        assertEquals(agent.wakesAtNanos, List.of(agent.nowNanos + HeldDispatches.HOLD_NANOS));

        agent.nowNanos += HeldDispatches.HOLD_NANOS;
        agent.control.expireHeld(agent.nowNanos);

        assertEquals(reasons(second), List.of(RefusalReason.NO_FREE_SLOT));
        agent.giveBack(first, 1);
        assertEquals(agent.startedNumbers, List.of());
    }

    @DataProvider
    public Object[][] ends() {
        Runnable cancelled = () -> agent.cancel(second, 5);
        Runnable cut = () -> agent.links.ended(second, "closed", agent.nowNanos);
        Runnable leaving = () -> agent.control.leave(agent.nowNanos);
        return new Object[][] {
            {cancelled, List.of(RefusalReason.CANCELLED)},
            {cut, List.of()},
            {leaving, List.of(RefusalReason.LEAVING)},
        };
    }

    @Test(dataProvider = "ends")
    public void shouldStartNothingAfterTheWaitHasEnded(Runnable end, List<RefusalReason> reasons) {
        agent.dispatchUngranted(second, 5);
        end.run();
        agent.giveBack(first, 1);

        assertEquals(agent.startedNumbers, List.of());
        assertEquals(reasons(second), reasons);
    }

    @Test
    public void shouldSettleAHeldDispatchOnTheNextConnection() {
        agent.dispatchUngranted(second, 5);
        agent.hello(second, SECOND, 5);
        agent.giveBack(first, 1);

        assertEquals(reasons(second), List.of(RefusalReason.NEVER_ARRIVED));
        assertEquals(agent.startedNumbers, List.of());
    }

    @Test
    public void shouldKeepConnectionWhileItHoldsADispatch() {
        assertTrue(agent.control.isQuiet(second));
        agent.dispatchUngranted(second, 5);

        assertFalse(agent.control.isQuiet(second));
    }

    // -- randomised

    /** An entry that keeps to its grants, answers each reclaim once, and sends dispatches with and without grants. */
    private static final class Sender {
        private final FakeStream stream;
        private final List<Long> sent = new ArrayList<>();
        private int spent;
        private int answered;

        Sender(FakeStream stream) {
            this.stream = stream;
        }

        int grants() {
            return stream.granted() - spent;
        }
    }

    @Test(dataProvider = "seeds")
    public void shouldDecideOnceOnEachDispatchAndNeverExceedTheSlots(long seed) {
        Random random = new Random(seed);
        Sender third = new Sender(agent.another(first, Incarnation.of(8)));
        List<Sender> senders = List.of(new Sender(first), new Sender(second), third);
        long sent = 0;
        for (int step = 0; step < 4_000; step++) {
            Sender sender = senders.get(random.nextInt(senders.size()));
            sent += step(sender, sent + 1, random);
            long running = agent.replies.stream().filter(r -> !r.isDone()).count();
            String at = "seed " + seed + " step " + step;
            assertEquals(agent.control.status().running(), running, at);
            assertTrue(running + agent.control.status().granted() <= AgentFixture.SLOTS, at);
        }
        agent.nowNanos += HeldDispatches.HOLD_NANOS;
        agent.control.expireHeld(agent.nowNanos);
        checkDecided(senders, sent);
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}};
    }

    /** Does one thing at random, and returns the number of dispatches sent. */
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
            case 3 -> agent.want(sender.stream, random.nextInt(3));
            case 4 -> cancelOne(sender, random);
            case 5 -> agent.control.expireHeld(agent.nowNanos += 1_000_000L);
            case 6 -> answer(sender, random);
            default -> finishOne(random);
        }
        return 0;
    }

    private int dispatchGranted(Sender sender, long number) {
        if (sender.grants() == 0) {
            return 0;
        }
        sender.spent++;
        sender.sent.add(number);
        agent.dispatch(sender.stream, number);
        return 1;
    }

    private void answer(Sender sender, Random random) {
        if (reclaims(sender.stream) == sender.answered) {
            return;
        }
        int asked = reclaims(sender.stream) - sender.answered;
        int returned = Math.min(sender.grants(), random.nextInt(asked + 1));
        sender.answered += asked;
        sender.spent += returned;
        agent.giveBack(sender.stream, returned);
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

    /** Each dispatch was started or refused, and none both. */
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
