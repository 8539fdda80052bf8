package org.teaselhook.core.job;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.amount.Amounts;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.lease.RunOutcome;
import org.teaselhook.core.lease.RunRefusal;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** A caller whose connection broke sends its job again: a refusal that says "not run" must be true of all copies. */
public class EarlierCopyTest {

    private static final long NOW = TimeUnit.SECONDS.toNanos(5);
    private static final Incarnation AGENT = Incarnation.of(1);
    private static final Amounts ROOM_FOR_ONE = Amounts.of(1_600, 65_536, 0);

    private RecordingJobOutput output;
    private JobDispatcher dispatcher;

    @BeforeMethod
    public void submitJob() {
        output = new RecordingJobOutput();
        dispatcher = JobDispatcher.of("entry-1", "thrissur", NOW, output);
        dispatcher.connected(NOW, AGENT, "agent-1", "thrissur");
        hear(ROOM_FOR_ONE, 0);
        submit("a");
    }

    @Test
    public void shouldNotSayNotRunOfJobWhoseEarlierCopyHasRun() {
        dispatcher.ended(NOW, 1, RunOutcome.FAILED, 100);
        dispatcher.cancel(NOW, "a");
        dispatcher.heard(NOW, AGENT, WorkerView.CLOSED);
        submit("a");

        assertTrue(output.answers().get("a") instanceof JobResult.GivenUp, "was " + output.answers());
    }

    @Test
    public void shouldNotSayNotRunOfJobWhoseEarlierCopyMayBeRunning() {
        dispatcher.cancel(NOW, "a");
        dispatcher.heard(NOW, AGENT, WorkerView.CLOSED);
        submit("a");

        assertTrue(output.answers().get("a") instanceof JobResult.GivenUp, "was " + output.answers());
    }

    @Test
    public void shouldSayNotRunOfJobWhoseEarlierCopyWasOnlyRefused() {
        dispatcher.refused(NOW, 1, RunRefusal.NO_ROOM);
        dispatcher.cancel(NOW, "a");
        dispatcher.heard(NOW, AGENT, WorkerView.CLOSED);
        submit("a");

        assertTrue(output.answers().get("a") instanceof JobResult.NotRun, "was " + output.answers());
    }

    private void hear(Amounts capacity, long seenOrder) {
        dispatcher.heard(NOW, AGENT, new WorkerView("patchdesk", capacity, Amounts.NONE, List.of(), seenOrder, 0));
    }

    private void submit(String id) {
        Step step = new Step(1, ROOM_FOR_ONE, 200, List.of(), Optional.empty(), Optional.empty(), 0);
        long deadline = NOW + TimeUnit.SECONDS.toNanos(5);
        dispatcher.submit(NOW, new Job(id, JobDispatcherTest.route(), "spec", List.of(step), NOW, deadline));
    }
}
