package org.teaselhook.node.control;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.teaselhook.core.dispatch.AgentInfo;
import org.teaselhook.core.dispatch.AgentState;
import org.teaselhook.core.dispatch.Dispatcher;
import org.teaselhook.core.dispatch.DispatcherSettings;
import org.teaselhook.core.dispatch.Submission;
import org.teaselhook.core.dispatch.TaskRequest;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.rules.Rules;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

public class DispatcherTimersTest {

    private static final int SUBMISSIONS = 20;
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long EARLY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final Incarnation AGENT = Incarnation.of(7);
    private static final TaskRequest TASK = TaskRequest.of("photo-check", "text/plain", new byte[1], true, 1_000_000L);

    /** No event follows the submissions, so the loop is woken only by their timers. */
    @Test
    public void shouldAnswerEachSubmissionAtItsDeadlineWithoutOtherEvents() throws Exception {
        Answers answers = new Answers();
        Dispatcher dispatcher = new Dispatcher(DispatcherSettings.of("z"), answers, new Random(1));
        try (ControlLoop loop = ControlLoop.start("test", System::nanoTime, failure -> {})) {
            loop.atDeadline(dispatcher::nextTickAt, dispatcher::tick);
            long start = loop.nowNanos();
            loop.execute(() -> serveWithoutSlots(dispatcher, start));
            for (int i = SUBMISSIONS; i > 0; i--) {
                Submission submission = submission(i, start);
                loop.execute(() -> dispatcher.submit(loop.nowNanos(), submission));
            }
            assertTrue(answers.allAnswered.await(10, TimeUnit.SECONDS), "answered: " + answers.atNanos.keySet());
            IntStream.rangeClosed(1, SUBMISSIONS).forEach(i -> assertOnTime(i, start, answers));
        }
    }

    private static void assertOnTime(int number, long start, Answers answers) {
        long lateNanos = answers.atNanos.get(Integer.toString(number)) - deadline(number, start);
        String message = "submission " + number + " was answered late by ns: " + lateNanos;
        assertTrue(lateNanos < LATE_NANOS && lateNanos > -EARLY_NANOS, message);
    }

    private static void serveWithoutSlots(Dispatcher dispatcher, long nowNanos) {
        dispatcher.applyRules(nowNanos, Rules.empty(), 1);
        dispatcher.setServing(nowNanos, true);
        dispatcher.agentConnected(nowNanos, new AgentInfo(AGENT, "worker-1", "z", "rack", 8));
        dispatcher.heartbeatReceived(nowNanos, AGENT, new AgentState(Set.of("s"), false, 1, 0));
    }

    private static Submission submission(int number, long start) {
        String id = Integer.toString(number);
        return new Submission(id, "s", "pandal", List.of(TASK), start, deadline(number, start), true);
    }

    private static long deadline(int number, long start) {
        return start + TimeUnit.MILLISECONDS.toNanos(200 + 37L * number);
    }

    /** Records when each submission was answered. */
    private static final class Answers extends NoOpDispatchOutput {
        private final Map<String, Long> atNanos = new ConcurrentHashMap<>();
        private final CountDownLatch allAnswered = new CountDownLatch(SUBMISSIONS);

        @Override
        public void submissionAnswered(String submissionId, Outcome outcome) {
            atNanos.put(submissionId, System.nanoTime());
            allAnswered.countDown();
        }
    }
}
