package org.teaselhook.core.job;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.amount.ResourceAmounts;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.lease.RunOutcome;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/** Under load, many runs end within a millisecond, and one placement round has to do for all of them. */
public class BatchedUpdatesTest {

    private static final long NOW = TimeUnit.SECONDS.toNanos(5);
    private static final Incarnation AGENT = Incarnation.of(1);
    private static final ResourceAmounts TASK = ResourceAmounts.of(1_600, 64, 0);
    private static final ResourceAmounts ROOM_FOR_TWO = ResourceAmounts.of(3_200, 65_536, 0);

    private RecordingJobOutput output;
    private JobDispatcher dispatcher;

    @BeforeMethod
    public void fillWorkerAndQueueOneTask() {
        output = new RecordingJobOutput();
        dispatcher = JobDispatcher.of("entry-1", "thrissur", NOW, output);
        dispatcher.agentConnected(NOW, AGENT, "agent-1", "thrissur");
        dispatcher.workerReported(NOW, AGENT, view(0));
        submit("a", 2);
        submit("b", 1);
        assertEquals(output.orders().size(), 2);
    }

    @Test
    public void shouldPlaceOnceAfterAllUpdatesOfBatch() {
        dispatcher.batch(NOW, () -> {
            endAll();
            assertEquals(output.orders().size(), 2, "nothing is placed before all updates were processed");
        });

        assertEquals(output.orders().size(), 3);
    }

    @Test
    public void shouldPlaceEvenIfUpdateOfBatchFails() {
        assertThrows(
                IllegalStateException.class,
                () -> dispatcher.batch(NOW, () -> {
                    endAll();
                    throw new IllegalStateException("invalid update");
                }));

        assertEquals(output.orders().size(), 3);
    }

    private void endAll() {
        dispatcher.workerReported(NOW, AGENT, view(2));
        List.copyOf(output.orders()).forEach(run -> dispatcher.runEnded(NOW, run.number(), RunOutcome.DONE, 200));
    }

    private static WorkerView view(long lastSeenOrder) {
        return new WorkerView("patchdesk", ROOM_FOR_TWO, ResourceAmounts.NONE, List.of(), lastSeenOrder, 0);
    }

    private void submit(String id, int tasks) {
        Step step = new Step(tasks, TASK, 200, List.of(), Optional.empty(), Optional.empty(), 0);
        long deadline = NOW + TimeUnit.SECONDS.toNanos(5);
        dispatcher.submit(NOW, new Job(id, JobDispatcherTest.route(), "spec", List.of(step), NOW, deadline));
    }
}
