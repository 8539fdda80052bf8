package org.teaselhook.core.job;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.amount.ResourceAmounts;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.lease.RunOutcome;
import org.teaselhook.core.lease.RunRefusal;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** A caller whose connection broke retries its job: a result of "not run" must hold for all copies of the job. */
public class EarlierCopyTest {

    private static final long NOW = TimeUnit.SECONDS.toNanos(5);
    private static final Incarnation AGENT = Incarnation.of(1);
    private static final ResourceAmounts ROOM_FOR_ONE = ResourceAmounts.of(1_600, 65_536, 0);

    private RecordingJobOutput output;
    private JobDispatcher dispatcher;

    @BeforeMethod
    public void submitJob() {
        output = new RecordingJobOutput();
        dispatcher = JobDispatcher.of("entry-1", "thrissur", NOW, output);
        dispatcher.agentConnected(NOW, AGENT, "agent-1", "thrissur");
        reportWorker(ROOM_FOR_ONE, 0);
        submit("a");
    }

    @Test
    public void shouldNotAnswerNotRunWhenEarlierCopyHasRun() {
        dispatcher.runEnded(NOW, 1, RunOutcome.FAILED, 100);
        dispatcher.cancel(NOW, "a");
        dispatcher.workerReported(NOW, AGENT, WorkerView.CLOSED);
        submit("a");

        assertTrue(output.answers().get("a") instanceof JobResult.GivenUp, "was " + output.answers());
    }

    @Test
    public void shouldNotAnswerNotRunWhenEarlierCopyMayBeRunning() {
        dispatcher.cancel(NOW, "a");
        dispatcher.workerReported(NOW, AGENT, WorkerView.CLOSED);
        submit("a");

        assertTrue(output.answers().get("a") instanceof JobResult.GivenUp, "was " + output.answers());
    }

    @Test
    public void shouldAnswerNotRunWhenEarlierCopyWasOnlyRefused() {
        dispatcher.orderRefused(NOW, 1, RunRefusal.NO_ROOM);
        dispatcher.cancel(NOW, "a");
        dispatcher.workerReported(NOW, AGENT, WorkerView.CLOSED);
        submit("a");

        assertTrue(output.answers().get("a") instanceof JobResult.NotRun, "was " + output.answers());
    }

    private void reportWorker(ResourceAmounts capacity, long lastSeenOrder) {
        dispatcher.workerReported(
                NOW, AGENT, new WorkerView("patchdesk", capacity, ResourceAmounts.NONE, List.of(), lastSeenOrder, 0));
    }

    private void submit(String id) {
        Step step = new Step(1, ROOM_FOR_ONE, 200, List.of(), Optional.empty(), Optional.empty(), 0);
        long deadline = NOW + TimeUnit.SECONDS.toNanos(5);
        dispatcher.submit(NOW, new Job(id, JobDispatcherTest.route(), "spec", List.of(step), NOW, deadline));
    }
}
