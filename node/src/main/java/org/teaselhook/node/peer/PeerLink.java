package org.teaselhook.node.peer;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import io.grpc.ManagedChannel;
import io.grpc.stub.StreamObserver;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.node.session.SessionStreams;
import org.teaselhook.wire.ConfigDocument;
import org.teaselhook.wire.EntryServiceGrpc;
import org.teaselhook.wire.PeerFrame;
import org.teaselhook.wire.PeerHeartbeat;

/**
 * The link that this entry opens to another one. A connection on which heartbeats time out is replaced without waiting
 * for it to close. Confined to the control thread.
 */
final class PeerLink {

    private static final long HEARTBEAT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final String address;
    private final PeerChannels channels;
    private final Executor control;
    private final LinkCallbacks callbacks;
    private final HeartbeatEchoes echoes = new HeartbeatEchoes();
    private ManagedChannel channel;
    private StreamObserver<PeerFrame> stream;
    private long dialedAt;
    private long aliveAsOf;
    private Optional<PeerInfo> peer = Optional.empty();

    /** Callbacks of a link, called on the control thread. */
    interface LinkCallbacks {
        PeerHeartbeat.Builder heartbeat(long nowNanos);

        void received(PeerLink link, PeerFrame frame);
    }

    PeerLink(String address, PeerChannels channels, Executor control, LinkCallbacks callbacks, long nowNanos) {
        this.address = address;
        this.channels = channels;
        this.control = control;
        this.callbacks = callbacks;
        dial(nowNanos);
    }

    // -- connection

    private void dial(long nowNanos) {
        channel = channels.open(address);
        dialedAt = nowNanos;
        aliveAsOf = nowNanos - TimeUnit.DAYS.toNanos(1);
        ManagedChannel dialed = channel;
        stream = EntryServiceGrpc.newStub(dialed).peer(new StreamObserver<>() {
            @Override
            public void onNext(PeerFrame frame) {
                control.execute(() -> receive(dialed, frame));
            }

            @Override
            public void onError(Throwable failure) {
                // The heartbeat timeout reconnects.
            }

            @Override
            public void onCompleted() {
                // The heartbeat timeout reconnects.
            }
        });
    }

    private void receive(ManagedChannel from, PeerFrame frame) {
        if (from == channel) {
            callbacks.received(this, frame);
        }
    }

    /** Opens a new connection if no heartbeat was echoed within the timeout. */
    void reconnectIfTimedOut(long nowNanos) {
        if (nowNanos - Math.max(dialedAt, aliveAsOf) > HEARTBEAT_TIMEOUT_NANOS) {
            close();
            dial(nowNanos);
        }
    }

    /** Restarts the heartbeat timeout after a pause of this process. */
    void restartTimeout(long nowNanos) {
        dialedAt = nowNanos;
    }

    void close() {
        SessionStreams.close(stream);
        channel.shutdownNow();
    }

    // -- frames

    void sendHeartbeat(long nowNanos) {
        long sequence = echoes.recordSent(nowNanos);
        SessionStreams.send(
                stream, PeerFrames.frame(callbacks.heartbeat(nowNanos).setSequence(sequence)));
    }

    void sendConfig(ConfigDocument document) {
        SessionStreams.send(stream, PeerFrame.newBuilder().setConfig(document).build());
    }

    /** Records a peer's heartbeat; returns the time after which the peer certainly sent it. */
    long recordHeartbeat(PeerInfo info, long echoSequence) {
        peer = Optional.of(info);
        aliveAsOf = Math.max(aliveAsOf, echoes.sentAt(echoSequence, aliveAsOf));
        return aliveAsOf;
    }

    // -- accessors

    String address() {
        return address;
    }

    Optional<PeerInfo> peer() {
        return peer;
    }

    boolean isConnectedTo(Incarnation incarnation) {
        return peer.filter(info -> info.incarnation().equals(incarnation)).isPresent();
    }

    /** Tells whether the peer is known to have been alive within the heartbeat timeout. */
    boolean isLive(long nowNanos) {
        return peer.isPresent() && nowNanos - aliveAsOf <= HEARTBEAT_TIMEOUT_NANOS;
    }

    EntryServiceGrpc.EntryServiceStub stub() {
        return EntryServiceGrpc.newStub(channel);
    }
}
