package org.teaselhook.node.agent;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.HttpResult;
import org.teaselhook.wire.Ack;
import org.teaselhook.wire.Cancel;
import org.teaselhook.wire.ConfigDocument;
import org.teaselhook.wire.Dispatch;
import org.teaselhook.wire.EntryFrame;
import org.teaselhook.wire.EntryHeartbeat;
import org.teaselhook.wire.EntryHello;
import org.teaselhook.wire.GrantReturn;

/** An agent's control state with fake streams and targets, and a clock that tests advance. */
final class AgentFixture {

    static final Incarnation AGENT = Incarnation.of(1);
    static final Incarnation ENTRY = Incarnation.of(2);
    static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 9_090);
    static final int SLOTS = 4;
    static final HttpResult DONE = new HttpResult.Replied(HttpReply.of(200, "text/plain", "done"));

    private static final long START_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final InetSocketAddress TARGET = new InetSocketAddress("127.0.0.1", 7_000);

    final AgentControl control;
    final EntryLinks links;
    final List<FakeStream> dialed = new ArrayList<>();
    final List<Long> startedNumbers = new ArrayList<>();
    final List<CompletableFuture<HttpResult>> replies = new ArrayList<>();
    final List<Long> expiryTimesNanos = new ArrayList<>();
    long nowNanos = START_NANOS;

    AgentFixture() {
        this(8);
    }

    AgentFixture(int maxEntries) {
        AgentIdentity identity = new AgentIdentity("worker-1", AGENT, "thrissur", "rack-1", SLOTS);
        control = new AgentControl(
                identity,
                (target, entry, task, startBy, timeout) -> {
                    startedNumbers.add(task.getDispatch());
                    replies.add(new CompletableFuture<>());
                    return replies.get(replies.size() - 1);
                },
                new Callbacks(),
                new AgentMetrics(AgentStatus::initial));
        links = new EntryLinks(
                this::dial,
                new UnusedStreamListener(),
                control,
                new EntrySelector("worker-1", maxEntries),
                List.of(ADDRESS),
                nowNanos);
    }

    private FakeStream dial(InetSocketAddress address, StreamListener listener) {
        FakeStream stream = new FakeStream(address);
        dialed.add(stream);
        return stream;
    }

    private void finish(RunningTask task, HttpResult result) {
        control.taskFinished(task, result, nowNanos);
    }

    // -- steps

    /** Connects the first entry, and provides a configuration and a target. */
    FakeStream connectEntry() {
        links.tick(nowNanos);
        FakeStream stream = lastDialed();
        hello(stream, ENTRY);
        configure(stream, 1, "");
        announce();
        return stream;
    }

    /** Connects a further entry. */
    FakeStream connectAnotherEntry(FakeStream first, Incarnation entry) {
        heartbeat(first, "127.0.0.1:" + (9_100 + dialed.size()));
        advanceMillis(1);
        FakeStream stream = lastDialed();
        hello(stream, entry);
        return stream;
    }

    FakeStream lastDialed() {
        return dialed.get(dialed.size() - 1);
    }

    void announce() {
        control.announce("lab-1", "patchdesk", TARGET, nowNanos);
    }

    void advanceMillis(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
        control.tick(nowNanos);
        links.tick(nowNanos);
    }

    void hello(FakeStream stream, Incarnation entry, long... inProgress) {
        EntryHello.Builder hello = EntryHello.newBuilder()
                .setName("entry")
                .setIncarnation(entry.value())
                .setState(EntryHeartbeat.newBuilder().setEchoAgentNanos(nowNanos));
        for (long number : inProgress) {
            hello.addInProgress(number);
        }
        receive(stream, EntryFrame.newBuilder().setHello(hello).build());
    }

    void configure(FakeStream stream, long version, String text) {
        ConfigDocument document =
                ConfigDocument.newBuilder().setVersion(version).setText(text).build();
        receive(stream, EntryFrame.newBuilder().setConfig(document).build());
    }

    void heartbeat(FakeStream stream, String... entries) {
        EntryHeartbeat heartbeat = EntryHeartbeat.newBuilder()
                .setEchoAgentNanos(nowNanos)
                .addAllEntries(List.of(entries))
                .build();
        receive(stream, EntryFrame.newBuilder().setHeartbeat(heartbeat).build());
    }

    void leavingHeartbeat(FakeStream stream) {
        EntryHeartbeat heartbeat = EntryHeartbeat.newBuilder()
                .setEchoAgentNanos(nowNanos)
                .setLeaving(true)
                .build();
        receive(stream, EntryFrame.newBuilder().setHeartbeat(heartbeat).build());
    }

    void dispatch(FakeStream stream, long number) {
        dispatch(stream, number, nowNanos);
    }

    void dispatch(FakeStream stream, long number, long echoNanos) {
        dispatch(stream, number, echoNanos, true);
    }

    void dispatchUngranted(FakeStream stream, long number) {
        dispatch(stream, number, nowNanos, false);
    }

    private void dispatch(FakeStream stream, long number, long echoNanos, boolean granted) {
        Dispatch task = Dispatch.newBuilder()
                .setDispatch(number)
                .setAgentIncarnation(AGENT.value())
                .setEchoAgentNanos(echoNanos)
                .setStartByAgentNanos(nowNanos + TimeUnit.SECONDS.toNanos(1))
                .setFinishByAgentNanos(nowNanos + TimeUnit.SECONDS.toNanos(5))
                .setConfigVersion(1)
                .setService("patchdesk")
                .setKind("quote")
                .setGranted(granted)
                .build();
        receive(stream, EntryFrame.newBuilder().setDispatch(task).build());
    }

    void acknowledge(FakeStream stream, long number) {
        Ack ack = Ack.newBuilder().addDispatch(number).build();
        receive(stream, EntryFrame.newBuilder().setAck(ack).build());
    }

    void returnSlots(FakeStream stream, int slots) {
        GrantReturn answer = GrantReturn.newBuilder().setSlots(slots).build();
        receive(stream, EntryFrame.newBuilder().setGrantReturn(answer).build());
    }

    void requestSlots(FakeStream stream, int slots) {
        EntryHeartbeat heartbeat = EntryHeartbeat.newBuilder()
                .setEchoAgentNanos(nowNanos)
                .setWantedSlots(slots)
                .build();
        receive(stream, EntryFrame.newBuilder().setHeartbeat(heartbeat).build());
    }

    void cancel(FakeStream stream, long number) {
        Cancel cancel = Cancel.newBuilder().setDispatch(number).build();
        receive(stream, EntryFrame.newBuilder().setCancel(cancel).build());
    }

    void receive(FakeStream stream, EntryFrame frame) {
        links.frameReceived(stream, frame, new AgentTime(0, nowNanos));
    }

    private final class Callbacks implements AgentCallbacks {

        @Override
        public void taskFinished(RunningTask task, HttpResult result) {
            finish(task, result);
        }

        @Override
        public void scheduleExpiry(long nanos) {
            expiryTimesNanos.add(nowNanos + nanos);
        }
    }

    private static final class UnusedStreamListener implements StreamListener {

        @Override
        public void frameReceived(EntryStream stream, EntryFrame frame) {
            throw new AssertionError("tests call EntryLinks directly");
        }

        @Override
        public void streamEnded(EntryStream stream, String reason) {
            throw new AssertionError("tests call EntryLinks directly");
        }
    }
}
