package org.teaselhook.bench.capacity;

import java.net.InetSocketAddress;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.teaselhook.wire.AgentFrame;
import org.teaselhook.wire.AgentHeartbeat;
import org.teaselhook.wire.AgentHello;
import org.teaselhook.wire.Dispatch;
import org.teaselhook.wire.EntryFrame;
import org.teaselhook.wire.EntryServiceGrpc;
import org.teaselhook.wire.Grant;
import org.teaselhook.wire.TargetOffer;
import org.teaselhook.wire.TaskResult;
import org.teaselhook.wire.TaskStatus;

/**
 * A session of an agent with one entry, on a connection of its own. Grants all its slots at the start, answers every
 * task at once with its own body and grants the slot again.
 */
final class LightAgent implements StreamObserver<EntryFrame>, AutoCloseable {

    private static final long HEARTBEAT_MILLIS = 500;
    private static final long RUN_NANOS = 1_000_000L;

    private final LightAgentPlan plan;
    private final ManagedChannel channel;
    private final StreamObserver<AgentFrame> frames;
    private volatile long configVersion;
    private boolean closed;

    private LightAgent(LightAgentPlan plan, InetSocketAddress entry, EventLoopGroup group) {
        this.plan = plan;
        this.channel = NettyChannelBuilder.forAddress(entry)
                .eventLoopGroup(group)
                .channelType(NioSocketChannel.class)
                .usePlaintext()
                .directExecutor()
                .build();
        this.frames = EntryServiceGrpc.newStub(channel).session(this);
    }

    /** Connects to an entry and sends heartbeats from then on. */
    static LightAgent start(
            LightAgentPlan plan, InetSocketAddress entry, EventLoopGroup group, ScheduledExecutorService timer) {
        LightAgent agent = new LightAgent(plan, entry, group);
        agent.send(AgentFrame.newBuilder().setHello(agent.hello()).build());
        agent.send(grant(plan.slots()));
        timer.scheduleAtFixedRate(agent::heartbeat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        return agent;
    }

    // -- frames to the entry

    private AgentHello hello() {
        return AgentHello.newBuilder()
                .setName(plan.name())
                .setIncarnation(plan.incarnation())
                .setZone(plan.zone())
                .setRack(plan.zone() + "-1")
                .setSlots(plan.slots())
                .setConnection(1)
                .setState(state())
                .build();
    }

    private AgentHeartbeat state() {
        TargetOffer offer = TargetOffer.newBuilder()
                .setTarget(plan.name() + "-target")
                .setService(plan.service())
                .build();
        return AgentHeartbeat.newBuilder()
                .setAgentNanos(System.nanoTime())
                .setConfigVersion(configVersion)
                .addTargets(offer)
                .build();
    }

    private void heartbeat() {
        send(AgentFrame.newBuilder().setHeartbeat(state()).build());
    }

    private static AgentFrame grant(int slots) {
        return AgentFrame.newBuilder()
                .setGrant(Grant.newBuilder().setSlots(slots))
                .build();
    }

    private void answer(Dispatch dispatch) {
        TaskResult result = TaskResult.newBuilder()
                .setDispatch(dispatch.getDispatch())
                .setStatus(TaskStatus.COMPLETE)
                .setHttpStatus(200)
                .setContentType(dispatch.getContentType())
                .setBody(dispatch.getBody())
                .setRunNanos(RUN_NANOS)
                .setGrantedSlots(1)
                .setTarget(plan.name() + "-target")
                .build();
        send(AgentFrame.newBuilder().setResult(result).build());
    }

    private synchronized void send(AgentFrame frame) {
        if (!closed) {
            frames.onNext(frame);
        }
    }

    // -- frames from the entry

    @Override
    public void onNext(EntryFrame frame) {
        if (frame.hasConfig()) {
            configVersion = Math.max(configVersion, frame.getConfig().getVersion());
        } else if (frame.hasDispatch()) {
            answer(frame.getDispatch());
        }
    }

    @Override
    public synchronized void onError(Throwable failure) {
        closed = true;
    }

    @Override
    public synchronized void onCompleted() {
        closed = true;
    }

    @Override
    public synchronized void close() {
        closed = true;
        channel.shutdownNow();
    }
}
