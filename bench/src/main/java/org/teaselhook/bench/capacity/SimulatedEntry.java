package org.teaselhook.bench.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.node.session.EntryListUpdates;
import org.teaselhook.node.session.EntryLocation;
import org.teaselhook.wire.Ack;
import org.teaselhook.wire.AgentFrame;
import org.teaselhook.wire.AgentHello;
import org.teaselhook.wire.ConfigDocument;
import org.teaselhook.wire.Dispatch;
import org.teaselhook.wire.EntryFrame;
import org.teaselhook.wire.EntryHeartbeat;
import org.teaselhook.wire.EntryHello;
import org.teaselhook.wire.EntryServiceGrpc;
import org.teaselhook.wire.GrantReturn;

/** A simulated entry with a session to one agent: sends heartbeats, and orders while it holds granted slots. */
final class SimulatedEntry extends EntryServiceGrpc.EntryServiceImplBase implements AutoCloseable {

    private static final long HEARTBEAT_MILLIS = 500;
    private static final long START_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final ConfigDocument CONFIG = ConfigDocument.newBuilder()
            .setVersion(1)
            .setText(SitePlan.standard().rules())
            .setOperation("light")
            .build();

    private final int index;
    private final List<EntryLocation> entries;
    private final Server server;
    private EntryListUpdates entryList = new EntryListUpdates();
    private StreamObserver<EntryFrame> outbound;
    private long agentIncarnation;
    private long agentNanos;
    private long nextDispatch = 1;
    private int grants;
    private long complete;
    private long refused;

    private SimulatedEntry(int index, InetSocketAddress bind, List<EntryLocation> entries, EventLoopGroup eventLoops) {
        this.index = index;
        this.entries = List.copyOf(entries);
        try {
            this.server = NettyServerBuilder.forAddress(bind)
                    .channelType(NioServerSocketChannel.class)
                    .bossEventLoopGroup(eventLoops)
                    .workerEventLoopGroup(eventLoops)
                    .directExecutor()
                    .addService(this)
                    .build()
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts an entry that lists the given entries in its heartbeats at the interval of a real entry. */
    static SimulatedEntry start(
            int index,
            InetSocketAddress bind,
            List<EntryLocation> entries,
            EventLoopGroup eventLoops,
            ScheduledExecutorService timer) {
        SimulatedEntry entry = new SimulatedEntry(index, bind, entries, eventLoops);
        timer.scheduleAtFixedRate(entry::sendHeartbeat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        return entry;
    }

    // -- accessors

    synchronized long complete() {
        return complete;
    }

    synchronized long refused() {
        return refused;
    }

    // -- frames from the agent

    @Override
    public synchronized StreamObserver<AgentFrame> session(StreamObserver<EntryFrame> frames) {
        outbound = frames;
        return new StreamObserver<>() {
            @Override
            public void onNext(AgentFrame frame) {
                handleFrame(frame);
            }

            @Override
            public void onError(Throwable failure) {
                sessionEnded(frames);
            }

            @Override
            public void onCompleted() {
                sessionEnded(frames);
            }
        };
    }

    private synchronized void handleFrame(AgentFrame frame) {
        switch (frame.getFrameCase()) {
            case HELLO -> answerHello(frame.getHello());
            case HEARTBEAT -> agentNanos = frame.getHeartbeat().getAgentNanos();
            case GRANT -> grants += frame.getGrant().getSlots();
            case RECLAIM -> returnGrants(frame.getReclaim().getSlots());
            case RESULT -> {
                complete++;
                grants += frame.getResult().getGrantedSlots();
                ack(frame.getResult().getDispatch());
            }
            case REFUSAL -> {
                refused++;
                grants += frame.getRefusal().getGrantedSlots();
                ack(frame.getRefusal().getDispatch());
            }
            default -> throw new IllegalStateException("unexpected frame " + frame.getFrameCase());
        }
    }

    private synchronized void sessionEnded(StreamObserver<EntryFrame> frames) {
        if (outbound == frames) {
            outbound = null;
        }
    }

    // -- frames to the agent

    private void answerHello(AgentHello hello) {
        agentIncarnation = hello.getIncarnation();
        agentNanos = hello.getState().getAgentNanos();
        grants = 0;
        entryList = new EntryListUpdates();
        EntryHello own = EntryHello.newBuilder()
                .setName("light-entry-" + index)
                .setIncarnation(1_000L + index)
                .setZone(SitePlan.standard().zone(index))
                .setState(heartbeatState())
                .build();
        send(EntryFrame.newBuilder().setHello(own).build());
        send(EntryFrame.newBuilder().setConfig(CONFIG).build());
    }

    private EntryHeartbeat heartbeatState() {
        EntryHeartbeat.Builder heartbeat =
                EntryHeartbeat.newBuilder().setEchoAgentNanos(agentNanos).setConfigVersion(CONFIG.getVersion());
        entryList.addTo(heartbeat, entries);
        return heartbeat.build();
    }

    private synchronized void sendHeartbeat() {
        send(EntryFrame.newBuilder().setHeartbeat(heartbeatState()).build());
    }

    private void returnGrants(int slots) {
        int returned = Math.min(slots, grants);
        grants -= returned;
        send(EntryFrame.newBuilder()
                .setGrantReturn(GrantReturn.newBuilder().setSlots(returned))
                .build());
    }

    private void ack(long dispatch) {
        send(EntryFrame.newBuilder()
                .setAck(Ack.newBuilder().addDispatch(dispatch))
                .build());
    }

    /** Sends an order if a granted slot is available; returns whether it was sent. */
    synchronized boolean sendOrder(ByteString body) {
        if (grants == 0 || outbound == null) {
            return false;
        }
        grants--;
        Dispatch order = Dispatch.newBuilder()
                .setDispatch(nextDispatch)
                .setAgentIncarnation(agentIncarnation)
                .setEchoAgentNanos(agentNanos)
                .setStartByAgentNanos(agentNanos + START_TIMEOUT_NANOS)
                .setFinishByAgentNanos(agentNanos + 2 * START_TIMEOUT_NANOS)
                .setConfigVersion(CONFIG.getVersion())
                .setService(SitePlan.SERVICE)
                .setKind(SitePlan.NON_IDEMPOTENT_KIND)
                .setCustomer("pandal")
                .setSubmission("light-" + index + "-" + nextDispatch)
                .setContentType("text/plain")
                .setBody(body)
                .setGranted(true)
                .build();
        nextDispatch++;
        send(EntryFrame.newBuilder().setDispatch(order).build());
        return true;
    }

    private void send(EntryFrame frame) {
        if (outbound != null) {
            outbound.onNext(frame);
        }
    }

    @Override
    public void close() {
        server.shutdownNow();
    }
}
