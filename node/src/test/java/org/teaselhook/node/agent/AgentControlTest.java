package org.teaselhook.node.agent;

import java.util.List;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.HttpResult;
import org.teaselhook.wire.AgentFrame;
import org.teaselhook.wire.ConfigDocument;
import org.teaselhook.wire.ConfigRequest;
import org.teaselhook.wire.EntryFrame;
import org.teaselhook.wire.RefusalReason;
import org.teaselhook.wire.TaskRefusal;
import org.teaselhook.wire.TaskResult;
import org.teaselhook.wire.TaskStatus;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class AgentControlTest {

    private static final HttpReply NOT_STARTED =
            HttpReply.of(503, "text/plain", "").withHeader("teaselhook-not-started", "true");

    // -- dispatches

    @Test
    public void shouldPiggybackGrantOnEachResult() {
        AgentFixture agent = new AgentFixture();
        FakeStream stream = agent.connectEntry();
        assertEquals(stream.granted(), AgentFixture.SLOTS);

        agent.dispatch(stream, 1);
        agent.replies.get(0).complete(AgentFixture.DONE);

        TaskResult result = stream.results().get(0);
        assertEquals(result.getStatus(), TaskStatus.COMPLETE);
        assertEquals(result.getBody().toStringUtf8(), "done");
        assertEquals(result.getGrantedSlots(), 1);
    }

    @DataProvider
    public static Object[][] ends() {
        return new Object[][] {
            {new HttpResult.Lost("closed"), TaskStatus.UNKNOWN, null},
            {new HttpResult.Replied(HttpReply.of(500, "text/plain", "")), TaskStatus.TARGET_ERROR, null},
            {new HttpResult.Replied(HttpReply.of(503, "text/plain", "")), TaskStatus.TARGET_ERROR, null},
            {new HttpResult.NotSent("refused"), null, RefusalReason.CONNECT_FAILED},
            {new HttpResult.Replied(NOT_STARTED), null, RefusalReason.START_BY_PASSED},
        };
    }

    @Test(dataProvider = "ends")
    public void shouldReportOnlyCertainOutcomeOfFailedTask(HttpResult end, TaskStatus status, RefusalReason refusal) {
        AgentFixture agent = new AgentFixture();
        FakeStream stream = agent.connectEntry();
        agent.dispatch(stream, 1);

        agent.replies.get(0).complete(end);

        assertEquals(stream.results().stream().map(TaskResult::getStatus).toList(), listOf(status));
        assertEquals(reasons(stream), listOf(refusal));
        agent.dispatch(stream, 1);
        assertEquals(agent.startedNumbers, List.of(1L));
    }

    @Test
    public void shouldNotUseUnreachableTargetUntilItsNextAnnouncement() {
        AgentFixture agent = new AgentFixture();
        FakeStream stream = agent.connectEntry();
        agent.dispatch(stream, 1);
        agent.replies.get(0).complete(new HttpResult.NotSent("refused"));

        agent.dispatch(stream, 2);
        assertEquals(reasons(stream), List.of(RefusalReason.CONNECT_FAILED, RefusalReason.NO_TARGET));
        agent.announce();
        agent.dispatch(stream, 3);
        assertEquals(agent.startedNumbers, List.of(1L, 3L));
    }

    // -- configuration

    @Test
    public void shouldSendConfigurationToEntryOnRequest() {
        AgentFixture agent = new AgentFixture();
        FakeStream stream = agent.connectEntry();
        agent.configure(stream, 3, "zone thrissur out # Anil: power work\n");
        agent.receive(
                stream,
                EntryFrame.newBuilder()
                        .setConfigRequest(ConfigRequest.getDefaultInstance())
                        .build());

        List<ConfigDocument> sent = stream.frames()
                .filter(AgentFrame::hasConfig)
                .map(AgentFrame::getConfig)
                .toList();
        assertEquals(sent.size(), 1);
        assertEquals(sent.get(0).getVersion(), 3);
        assertEquals(sent.get(0).getText(), "zone thrissur out # Anil: power work\n");
    }

    @Test
    public void shouldRefuseTasksWithoutConfigurationAndIgnoreOlderVersions() {
        AgentFixture agent = new AgentFixture();
        agent.links.tick(agent.nowNanos);
        FakeStream stream = agent.lastDialed();
        agent.hello(stream, AgentFixture.ENTRY);
        agent.announce();
        assertEquals(stream.granted(), 0);
        agent.dispatch(stream, 1);

        agent.configure(stream, 3, "zone thrissur out # Anil: power work\n");
        agent.configure(stream, 2, "");
        agent.dispatch(stream, 2);
        agent.configure(stream, 4, "");
        agent.dispatch(stream, 3);

        assertEquals(reasons(stream), List.of(RefusalReason.CONFIG_UNKNOWN, RefusalReason.ZONE_OUT));
        assertEquals(agent.startedNumbers, List.of(3L));
    }

    // -- reconnecting

    @Test
    public void shouldResolveDispatchesInProgressOnReconnect() {
        AgentFixture agent = new AgentFixture();
        FakeStream first = agent.connectEntry();
        agent.dispatch(first, 1);
        agent.dispatch(first, 2);
        agent.replies.get(0).complete(AgentFixture.DONE);

        agent.advanceMillis(2_100);
        FakeStream second = agent.lastDialed();
        assertTrue(first.closed());
        agent.announce();
        agent.hello(second, AgentFixture.ENTRY, 1, 2, 3);

        assertEquals(second.results().stream().map(TaskResult::getDispatch).toList(), List.of(1L));
        assertEquals(second.refusals().stream().map(TaskRefusal::getDispatch).toList(), List.of(3L));
        assertEquals(reasons(second), List.of(RefusalReason.NEVER_ARRIVED));
        assertEquals(second.granted(), AgentFixture.SLOTS - 1);
        agent.dispatch(second, 3);
        assertEquals(agent.startedNumbers, List.of(1L, 2L));
    }

    @Test
    public void shouldIgnoreLateFramesOfReplacedConnection() {
        AgentFixture agent = new AgentFixture();
        FakeStream first = agent.connectEntry();
        agent.advanceMillis(2_100);
        agent.announce();

        agent.dispatch(first, 1);
        agent.hello(agent.lastDialed(), AgentFixture.ENTRY, 1);
        agent.dispatch(first, 1);

        assertEquals(agent.startedNumbers, List.of());
        assertEquals(reasons(agent.lastDialed()), List.of(RefusalReason.NEVER_ARRIVED));
    }

    @Test
    public void shouldKeepResultUntilItIsAcknowledged() {
        AgentFixture agent = new AgentFixture();
        FakeStream first = agent.connectEntry();
        agent.dispatch(first, 1);
        agent.dispatch(first, 2);
        agent.replies.forEach(reply -> reply.complete(AgentFixture.DONE));
        agent.acknowledge(first, 1);
        assertFalse(agent.control.isDrained());

        agent.advanceMillis(2_100);
        agent.hello(agent.lastDialed(), AgentFixture.ENTRY, 2);
        assertEquals(
                agent.lastDialed().results().stream()
                        .map(TaskResult::getDispatch)
                        .toList(),
                List.of(2L));
        agent.acknowledge(agent.lastDialed(), 2);
        assertTrue(agent.control.isDrained());
    }

    @Test
    public void shouldReportUnknownWhenEntryReconnectsAfterItsResultsWereDropped() {
        AgentFixture agent = new AgentFixture();
        FakeStream first = agent.connectEntry();
        agent.dispatch(first, 1);
        agent.advanceMillis(2_100);
        agent.replies.get(0).complete(AgentFixture.DONE);
        agent.advanceMillis(61_000);

        agent.hello(agent.lastDialed(), AgentFixture.ENTRY, 1);

        assertEquals(agent.lastDialed().results().get(0).getStatus(), TaskStatus.UNKNOWN);
        assertEquals(agent.lastDialed().refusals(), List.of());
    }

    @Test
    public void shouldUseOneOfTwoAddressesOfSameEntry() {
        AgentFixture agent = new AgentFixture();
        FakeStream first = agent.connectEntry();
        agent.heartbeat(first, "127.0.0.2:9090");
        agent.advanceMillis(1);
        FakeStream second = agent.lastDialed();
        agent.hello(second, AgentFixture.ENTRY);

        assertTrue(first.closed());
        agent.heartbeat(second, "127.0.0.2:9090");
        agent.advanceMillis(1_500);
        assertEquals(agent.dialed.size(), 2);
        agent.links.streamEnded(second, "closed", agent.nowNanos);
        agent.advanceMillis(200);
        assertEquals(agent.dialed.size(), 4);
    }

    // -- paused processes

    @Test
    public void shouldRefuseDispatchesBufferedWhileAgentWasPaused() {
        AgentFixture agent = new AgentFixture();
        FakeStream stream = agent.connectEntry();
        long beforePause = agent.nowNanos;

        agent.nowNanos += 10_000_000_000L;
        agent.heartbeat(stream);
        agent.announce();
        agent.dispatch(stream, 1, beforePause);

        assertEquals(reasons(stream), List.of(RefusalReason.STALE_ENTRY));
        assertEquals(agent.startedNumbers, List.of());
    }

    // -- cancel

    @Test
    public void shouldReportCancelledOnlyForDispatchThatNeverStarted() {
        AgentFixture agent = new AgentFixture();
        FakeStream stream = agent.connectEntry();
        agent.dispatch(stream, 1);

        agent.cancel(stream, 1);
        agent.cancel(stream, 2);
        agent.dispatch(stream, 2);

        assertEquals(agent.startedNumbers, List.of(1L));
        assertEquals(stream.refusals().stream().map(TaskRefusal::getDispatch).toList(), List.of(2L));
    }

    // -- leaving

    @Test
    public void shouldStartNoNewTasksAndFinishRunningOnesWhenLeaving() {
        AgentFixture agent = new AgentFixture();
        FakeStream stream = agent.connectEntry();
        agent.dispatch(stream, 1);

        agent.control.leave(agent.nowNanos);
        agent.dispatch(stream, 2);
        assertEquals(reasons(stream), List.of(RefusalReason.LEAVING));
        assertTrue(stream.frames().anyMatch(frame -> frame.getHeartbeat().getLeaving()));
        assertFalse(agent.control.isDrained());

        agent.replies.get(0).complete(AgentFixture.DONE);
        agent.acknowledge(stream, 1);
        assertTrue(agent.control.isDrained());
    }

    @Test
    public void shouldNotUseTargetThatWithdrewOrWhoseAnnouncementExpired() {
        AgentFixture agent = new AgentFixture();
        FakeStream stream = agent.connectEntry();

        assertTrue(agent.control.withdraw("lab-1", agent.nowNanos));
        agent.dispatch(stream, 1);
        agent.announce();
        agent.advanceMillis(1_500);
        agent.heartbeat(stream);
        agent.advanceMillis(1_600);
        agent.heartbeat(stream);
        agent.dispatch(stream, 2);

        assertEquals(reasons(stream), List.of(RefusalReason.NO_TARGET, RefusalReason.NO_TARGET));
        assertEquals(agent.startedNumbers, List.of());
    }

    @Test
    public void shouldTrackDispatchNumbersPerEntry() {
        AgentFixture agent = new AgentFixture();
        FakeStream first = agent.connectEntry();
        agent.heartbeat(first, "127.0.0.1:9091");
        agent.advanceMillis(1);
        FakeStream second = agent.lastDialed();
        agent.hello(second, Incarnation.of(7));
        agent.advanceMillis(1);
        agent.returnSlots(first, 2);

        agent.dispatch(first, 1);
        agent.dispatch(second, 1);

        assertEquals(agent.startedNumbers, List.of(1L, 1L));
        assertEquals(first.granted(), AgentFixture.SLOTS);
        assertEquals(second.granted(), 2);
    }

    private static List<RefusalReason> reasons(FakeStream stream) {
        return stream.refusals().stream().map(TaskRefusal::getReason).toList();
    }

    private static <T> List<T> listOf(T item) {
        return item == null ? List.of() : List.of(item);
    }
}
