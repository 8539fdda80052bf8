package org.teaselhook.core.dispatch;

import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Answer;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.placement.PlacementPolicy;
import org.teaselhook.core.rules.Rules;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests results that arrive after the submission was answered as possibly run. */
public final class LateResultTest {

    private static final long MILLI = 1_000_000L;
    private static final Incarnation AGENT = Incarnation.of(1);
    private static final Answer ANSWER = Answer.of(200, "text/plain", new byte[] {1});
    private static final int TASKS = 2;

    private RecordingOutput output;
    private Dispatcher dispatcher;
    private long now;

    /** Starts a job that times out while all its tasks are running. */
    @BeforeMethod
    public void start() {
        output = new RecordingOutput();
        dispatcher = new Dispatcher(DispatcherSettings.of("thrissur", PlacementPolicy.GRANTS), output, new Random(1));
        now = 1_000 * MILLI;
        dispatcher.applyRules(now, Rules.empty(), 1);
        dispatcher.setServing(now, true);
        dispatcher.agentConnected(now, new AgentInfo(AGENT, "w1", "thrissur", "r1", TASKS));
        dispatcher.heartbeatReceived(now, AGENT, new AgentState(Set.of("patchdesk"), false, 1, 0));
        dispatcher.slotsGranted(now, AGENT, TASKS);
        TaskRequest task = TaskRequest.of("photo", "text/plain", new byte[0], false, 100 * MILLI);
        List<TaskRequest> tasks = Collections.nCopies(TASKS, task);
        dispatcher.submit(now, new Submission("job", "patchdesk", "pandal", tasks, now, now + 1_000 * MILLI, true));
        now += 2_000 * MILLI;
        dispatcher.tick(now);
        assertEquals(output.outcomeOf("job"), "may-have-run TIMED_OUT");
    }

    private void result(int task, TaskStatus status) {
        dispatcher.resultReceived(now, AGENT, output.orders.get(task).number(), status, ANSWER, 100 * MILLI);
    }

    @Test
    public void shouldCompleteLateWithLastResult() {
        result(0, TaskStatus.COMPLETE);
        result(0, TaskStatus.COMPLETE);
        assertTrue(output.lateOutcomes.isEmpty());
        result(1, TaskStatus.COMPLETE);
        assertEquals(output.lateOutcomes.get("job"), Outcome.complete(List.of(ANSWER, ANSWER)));
    }

    @Test
    public void shouldNotCompleteLateWhenOneTaskFailed() {
        result(0, TaskStatus.COMPLETE);
        result(1, TaskStatus.TARGET_ERROR);
        assertTrue(output.lateOutcomes.isEmpty());
    }
}
