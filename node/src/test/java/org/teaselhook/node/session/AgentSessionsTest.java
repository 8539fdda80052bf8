package org.teaselhook.node.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.grpc.stub.StreamObserver;
import org.teaselhook.core.dispatch.AgentInfo;
import org.teaselhook.core.dispatch.Decision;
import org.teaselhook.core.dispatch.DispatchOrder;
import org.teaselhook.core.dispatch.DispatchOutput;
import org.teaselhook.core.dispatch.Dispatcher;
import org.teaselhook.core.dispatch.DispatcherSettings;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.wire.AgentFrame;
import org.teaselhook.wire.AgentHeartbeat;
import org.teaselhook.wire.AgentHello;
import org.teaselhook.wire.ConfigDocument;
import org.teaselhook.wire.EntryFrame;
import org.teaselhook.wire.Grant;
import org.teaselhook.wire.GrantReclaim;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class AgentSessionsTest {

    private static final Incarnation AGENT = Incarnation.of(7);

    private final List<EntryFrame> sent = new ArrayList<>();
    private final StreamObserver<EntryFrame> stream = new RecordingStream();
    private final List<ConfigDocument> received = new ArrayList<>();
    private AgentSessions sessions;

    @BeforeMethod
    public void connect() {
        sent.clear();
        Output output = new Output();
        Dispatcher dispatcher = new Dispatcher(DispatcherSettings.of("z"), output, new Random(1));
        EntryIdentity self = new EntryIdentity("entry-1", Incarnation.of(1), "z", "127.0.0.1:1");
        sessions = new AgentSessions(
                self,
                dispatcher,
                new RecordingListener(),
                ConfigDocument::getDefaultInstance,
                () -> List.of(new EntryLocation("127.0.0.1:1", "z")));
        output.sessions = sessions;
        sessions.agentConnected(0, stream, hello());
    }

    // -- grants

    @DataProvider
    public Object[][] grants() {
        return new Object[][] {{0, 2}, {1, 2}, {3, 2}};
    }

    @Test(dataProvider = "grants")
    public void shouldAnswerEachReclaimExactlyOnce(int granted, int requested) {
        if (granted > 0) {
            receive(AgentFrame.newBuilder().setGrant(Grant.newBuilder().setSlots(granted)));
        }
        receive(AgentFrame.newBuilder().setReclaim(GrantReclaim.newBuilder().setSlots(requested)));
        List<Integer> returns = sent.stream()
                .filter(EntryFrame::hasGrantReturn)
                .map(frame -> frame.getGrantReturn().getSlots())
                .toList();
        assertEquals(returns, List.of(Math.min(granted, requested)));
    }

    // -- configuration

    @Test
    public void shouldRequestNewerConfigurationAndAcceptIt() {
        receive(AgentFrame.newBuilder().setHeartbeat(AgentHeartbeat.newBuilder().setConfigVersion(3)));
        assertEquals(sent.stream().filter(EntryFrame::hasConfigRequest).count(), 1);

        ConfigDocument document = ConfigDocument.newBuilder().setVersion(3).build();
        receive(AgentFrame.newBuilder().setConfig(document));
        assertEquals(received, List.of(document));
    }

    // -- helpers

    private final class RecordingListener implements SessionListener {
        @Override
        public boolean agentReportedVersion(long nowNanos, AgentInfo agent, long version) {
            return version > 0;
        }

        @Override
        public void configReceived(ConfigDocument document) {
            received.add(document);
        }
    }

    private void receive(AgentFrame.Builder frame) {
        sessions.frameReceived(1, AGENT, stream, frame.build());
    }

    private static AgentHello hello() {
        return AgentHello.newBuilder()
                .setName("worker-1")
                .setIncarnation(AGENT.value())
                .setZone("z")
                .setSlots(8)
                .setConnection(1)
                .setState(AgentHeartbeat.newBuilder().setAgentNanos(1))
                .build();
    }

    private final class RecordingStream implements StreamObserver<EntryFrame> {
        @Override
        public void onNext(EntryFrame frame) {
            sent.add(frame);
        }

        @Override
        public void onError(Throwable failure) {
            // The stream ends.
        }

        @Override
        public void onCompleted() {
            // The stream ends.
        }
    }

    private static final class Output implements DispatchOutput {
        private AgentSessions sessions;

        @Override
        public void dispatch(DispatchOrder order) {
            sessions.dispatch(order, order.submissionId());
        }

        @Override
        public void cancel(Incarnation agent, long number) {
            sessions.cancel(agent, number);
        }

        @Override
        public void ack(Incarnation agent, long number) {
            sessions.ack(agent, number);
        }

        @Override
        public void submissionAnswered(String submissionId, Outcome outcome) {
            // These tests make no submissions.
        }

        @Override
        public void returnGrants(Incarnation agent, int slots) {
            sessions.returnGrants(agent, slots);
        }

        @Override
        public void requestSlots(Incarnation agent, int slots) {
            sessions.sendHeartbeat(0, agent);
        }

        @Override
        public void recordDecision(Decision decision) {
            // These tests do not check decisions.
        }
    }
}
