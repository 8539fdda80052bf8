package org.teaselhook.node.lease;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

import org.teaselhook.core.amount.ResourceAmounts;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.lease.ControlThread;
import org.teaselhook.core.lease.LeaseTimes;
import org.teaselhook.core.lease.PollResult;
import org.teaselhook.core.lease.RunId;
import org.teaselhook.core.lease.RunOutcome;
import org.teaselhook.core.lease.StartResult;
import org.teaselhook.core.lease.StopResult;
import org.teaselhook.core.lease.WorkerCalls;
import org.teaselhook.core.lease.WorkerReport;
import org.teaselhook.core.lease.WorkerRuns;
import org.teaselhook.core.lease.WorkerSnapshot;
import org.teaselhook.net.http.EventLoops;
import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.node.frame.FrameConnection;
import org.teaselhook.node.frame.FrameDialer;
import org.teaselhook.node.frame.FrameProtocol;
import org.teaselhook.node.frame.IgnoringListener;
import org.teaselhook.node.frame.Outbox;
import org.teaselhook.node.route.AmountMessages;
import org.teaselhook.wire.RunCommand;
import org.teaselhook.wire.RunGreeting;
import org.teaselhook.wire.RunOrder;
import org.teaselhook.wire.RunReport;
import org.teaselhook.wire.RunStop;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class LeaseAgentControlTest {

    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress OTHER_ADDRESS = new InetSocketAddress("127.0.0.1", 2);
    private static final Incarnation ENTRY = Incarnation.of(7);
    private static final long CLOCK_MILLIS = 5_000;

    private final List<FrameConnection<RunReport>> streams = new ArrayList<>();
    private long now;
    private EventLoops loops;
    private ControlLoop outboxLoop;
    private RunLinks links;
    private LeaseAgentControl agent;
    private AcceptingWorker worker;

    @BeforeMethod
    public void connectEntry() {
        now = TimeUnit.SECONDS.toNanos(100);
        streams.clear();
        loops = EventLoops.of(1);
        outboxLoop = ControlLoop.start("test", System::nanoTime, failure -> {});
        links = new RunLinks(this::dial, RunReport.getDefaultInstance());
        agent = new LeaseAgentControl("z", links, new LeaseMetrics(() -> LeaseMetrics.Status.INITIAL));
        worker = new AcceptingWorker();
        ControlThread control = agent.stoppingRunsOfSilentEntries(new ImmediateControl());
        agent.attachRuns(WorkerRuns.of(1, worker, control, agent, new RunLog()));
        ResourceAmounts capacity = ResourceAmounts.of(4_000, 1_000, 0);
        agent.workerReported(new WorkerReport("w", 1, 1, "s", ADDRESS, "z", capacity, List.of(), false), now);
        worker.poll.complete(new PollResult.Answered(new WorkerSnapshot(1, CLOCK_MILLIS, List.of(), List.of())));
        links.addAddresses(List.of(ADDRESS), now);
        links.tick(now);
        receive(greeting(List.of()), order(1, "a"), order(2, "b"), order(3, "c"));
        assertEquals(worker.starts, List.of("a", "b", "c"));
    }

    @AfterMethod
    public void closeLoops() {
        loops.close();
        outboxLoop.close();
    }

    /** After a pause, the agent drops its connections, and a stop in their buffers is lost with them. */
    @Test
    public void shouldStopRunsThatEntryStopsOrDoesNotListAfterReconnecting() {
        agent.resumedAfterPause(now);
        receive(stop(1));
        assertEquals(worker.stops, List.of(), "the connection was dropped");

        now += TimeUnit.SECONDS.toNanos(1);
        links.tick(now);
        receive(greeting(List.of(1L, 2L)), stop(1));
        assertEquals(worker.stops, List.of("c", "a"));
    }

    /** After a pause, an agent renewed the leases of runs whose entry had been silent, and stopped them only later. */
    @Test
    public void shouldStopRunsOfSilentEntryAsSoonAsPauseIsNoticed() {
        now += TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_TIMEOUT_MILLIS);
        agent.resumedAfterPause(now);
        assertEquals(worker.stops, List.of());

        now++;
        agent.resumedAfterPause(now);
        assertEquals(Set.copyOf(worker.stops), Set.of("a", "b", "c"));
    }

    /** After a stall too short for a pause, leases were renewed before the runs of silent entries were stopped. */
    @Test
    public void shouldStopRunsOfSilentEntryBeforeAnswerOfWorkerRenewsLeases() {
        now += TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_TIMEOUT_MILLIS);
        answerPoll();
        assertEquals(worker.stops, List.of());

        now++;
        answerPoll();
        assertEquals(Set.copyOf(worker.stops), Set.of("a", "b", "c"));
        assertEquals(worker.stopsBeforePoll, 3);
    }

    /** A stalled agent renewed the lease beside unanswered stops as of the end of its stall, not of the time-out. */
    @Test
    public void shouldNotRenewLeaseAsOfLaterTimeThanTimeoutOfSilentEntry() {
        worker.stopResult = StopResult.UNKNOWN;
        now += TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_TIMEOUT_MILLIS + 250);
        answerPoll(CLOCK_MILLIS + LeaseTimes.ENTRY_TIMEOUT_MILLIS + 250);
        assertEquals(Set.copyOf(worker.stops), Set.of("a", "b", "c"));

        long latestEnd = CLOCK_MILLIS + LeaseTimes.ENTRY_TIMEOUT_MILLIS + LeaseTimes.LEASE_MILLIS;
        assertTrue(worker.leaseUntilMillis <= latestEnd, worker.leaseUntilMillis + " > " + latestEnd);
    }

    /** An order that was overtaken by the greeting on a newer connection began after the entry had ordered it again. */
    @Test
    public void shouldNotStartOrderThatWasReportedAsNeverArrived() {
        links.addAddresses(List.of(OTHER_ADDRESS), now);
        links.tick(now);
        receive(greeting(List.of(1L, 2L, 3L, 4L)));
        agent.received(streams.get(0), List.of(order(4, "d")), now);
        assertEquals(worker.starts, List.of("a", "b", "c"));

        receive(order(5, "e"));
        assertEquals(worker.starts, List.of("a", "b", "c", "e"));
    }

    /** An order that had waited for capacity was started although its entry had been silent for too long. */
    @Test
    public void shouldNotStartWaitingOrderOfSilentEntry() {
        receive(order(4, "d"));
        RunCommand stale = order(5, "e", 500);
        now += TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_TIMEOUT_MILLIS - 10);
        receive(stale);
        assertEquals(worker.starts, List.of("a", "b", "c", "d"), "the order waits for an end");

        now += TimeUnit.MILLISECONDS.toNanos(20);
        WorkerSnapshot.Ended ended = new WorkerSnapshot.Ended(1, new RunId("a", 1), RunOutcome.DONE);
        worker.poll.complete(new PollResult.Answered(new WorkerSnapshot(1, 5_500, List.of(), List.of(ended))));
        agent.tickQueue(now);
        assertEquals(worker.starts, List.of("a", "b", "c", "d"));
    }

    // -- fixture

    private void answerPoll() {
        answerPoll(CLOCK_MILLIS);
    }

    private void answerPoll(long clockMillis) {
        List<WorkerSnapshot.Running> running = Stream.of("a", "b", "c")
                .map(task -> new WorkerSnapshot.Running(new RunId(task, 1), 50))
                .toList();
        worker.poll.complete(new PollResult.Answered(new WorkerSnapshot(1, clockMillis, running, List.of())));
    }

    private FrameConnection<RunReport> dial(InetSocketAddress address) {
        FrameProtocol<RunCommand> protocol = new FrameProtocol<>(RunCommand.parser(), 1_000);
        FrameConnection<RunReport> stream = FrameDialer.<RunCommand, RunReport>of(
                        loops, Outbox.of(outboxLoop), protocol, 100)
                .dial(address, new IgnoringListener<>());
        streams.add(stream);
        return stream;
    }

    private void receive(RunCommand... commands) {
        agent.received(streams.get(streams.size() - 1), List.of(commands), now);
    }

    private static RunCommand greeting(List<Long> inProgress) {
        return RunCommand.newBuilder()
                .setGreeting(RunGreeting.newBuilder()
                        .setName("entry")
                        .setIncarnation(ENTRY.value())
                        .addAllInProgress(inProgress))
                .build();
    }

    private RunCommand order(long number, String task) {
        return order(number, task, 1_000);
    }

    private RunCommand order(long number, String task, int cpu) {
        return RunCommand.newBuilder()
                .setOrder(RunOrder.newBuilder()
                        .setOrder(number)
                        .setTask(task)
                        .setRun(1)
                        .setService("s")
                        .setAmounts(AmountMessages.toMessage(ResourceAmounts.of(cpu, 10, 0)))
                        .setEchoAgentNanos(now)
                        .setStartByAgentNanos(now + TimeUnit.SECONDS.toNanos(1)))
                .build();
    }

    private static RunCommand stop(long number) {
        return RunCommand.newBuilder()
                .setStop(RunStop.newBuilder().setOrder(number))
                .build();
    }

    private final class ImmediateControl implements ControlThread {

        @Override
        public <T> void handle(CompletionStage<T> stage, BiConsumer<Long, T> handler) {
            stage.thenAccept(result -> handler.accept(now, result));
        }
    }

    /** Accepts every start, and records the tasks of the runs that are started and stopped. */
    private static final class AcceptingWorker implements WorkerCalls {

        private final List<String> starts = new ArrayList<>();
        private final List<String> stops = new ArrayList<>();
        private CompletableFuture<PollResult> poll;
        private StopResult stopResult = StopResult.STOPPED;
        private long leaseUntilMillis;
        private int stopsBeforePoll;

        @Override
        public CompletionStage<StartResult> start(
                WorkerReport worker, RunId run, String spec, long leaseUntilMillis, long token, long sendBy) {
            starts.add(run.task());
            return CompletableFuture.completedFuture(StartResult.STARTED);
        }

        @Override
        public CompletionStage<StopResult> stop(WorkerReport worker, RunId run, long token) {
            stops.add(run.task());
            return CompletableFuture.completedFuture(stopResult);
        }

        @Override
        public CompletionStage<PollResult> poll(
                WorkerReport worker, OptionalLong leaseUntilMillis, long token, long acknowledged, long waitMillis) {
            poll = new CompletableFuture<>();
            stopsBeforePoll = stops.size();
            this.leaseUntilMillis = Math.max(this.leaseUntilMillis, leaseUntilMillis.orElse(0));
            return poll;
        }
    }
}
