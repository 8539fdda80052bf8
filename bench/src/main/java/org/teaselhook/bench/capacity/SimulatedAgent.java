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
 * A simulated agent with a session to one entry, on a separate connection. Grants all its slots at the start,
 * immediately completes every task with the task's own body as the result, and grants the slot again.
 */
final class SimulatedAgent implements StreamObserver<EntryFrame>, AutoCloseable {

    private static final long HEARTBEAT_MILLIS = 500;
    private static final long RUN_NANOS = 1_000_000L;

    private final SimulatedAgentPlan plan;
    private final ManagedChannel channel;
    private final StreamObserver<AgentFrame> frames;
    private volatile long configVersion;
    private boolean closed;

    private SimulatedAgent(SimulatedAgentPlan plan, InetSocketAddress entry, EventLoopGroup eventLoops) {
        this.plan = plan;
        this.channel = NettyChannelBuilder.forAddress(entry)
                .eventLoopGroup(eventLoops)
                .channelType(NioSocketChannel.class)
                .usePlaintext()
                .directExecutor()
                .build();
        this.frames = EntryServiceGrpc.newStub(channel).session(this);
    }

    /** Connects to an entry and starts to send heartbeats. */
    static SimulatedAgent start(
            SimulatedAgentPlan plan,
            InetSocketAddress entry,
            EventLoopGroup eventLoops,
            ScheduledExecutorService timer) {
        SimulatedAgent agent = new SimulatedAgent(plan, entry, eventLoops);
        agent.send(AgentFrame.newBuilder().setHello(agent.hello()).build());
        agent.send(grantFrame(plan.slots()));
        timer.scheduleAtFixedRate(agent::sendHeartbeat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
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
                .setState(heartbeatState())
                .build();
    }

    private AgentHeartbeat heartbeatState() {
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

    private void sendHeartbeat() {
        send(AgentFrame.newBuilder().setHeartbeat(heartbeatState()).build());
    }

    private static AgentFrame grantFrame(int slots) {
        return AgentFrame.newBuilder()
                .setGrant(Grant.newBuilder().setSlots(slots))
                .build();
    }

    private void sendResult(Dispatch dispatch) {
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
            sendResult(frame.getDispatch());
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
