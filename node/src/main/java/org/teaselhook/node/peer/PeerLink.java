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
 * The link that this entry dials to another one. A connection that is silent is replaced without waiting for it.
 * Confined to the control thread.
 */
final class PeerLink {

    private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final String address;
    private final PeerChannels channels;
    private final Executor control;
    private final LinkOwner owner;
    private final EchoTimes echoes = new EchoTimes();
    private ManagedChannel channel;
    private StreamObserver<PeerFrame> stream;
    private long dialedAt;
    private long provenAt;
    private Optional<PeerInfo> peer = Optional.empty();

    /** What a link needs of its owner, on the control thread. */
    interface LinkOwner {
        PeerHeartbeat.Builder heartbeat(long nowNanos);

        void received(PeerLink link, PeerFrame frame);
    }

    PeerLink(String address, PeerChannels channels, Executor control, LinkOwner owner, long nowNanos) {
        this.address = address;
        this.channels = channels;
        this.control = control;
        this.owner = owner;
        dial(nowNanos);
    }

    // -- connection

    private void dial(long nowNanos) {
        channel = channels.open(address);
        dialedAt = nowNanos;
        provenAt = nowNanos - TimeUnit.DAYS.toNanos(1);
        ManagedChannel dialed = channel;
        stream = EntryServiceGrpc.newStub(dialed).peer(new StreamObserver<>() {
            @Override
            public void onNext(PeerFrame frame) {
                control.execute(() -> receive(dialed, frame));
            }

            @Override
            public void onError(Throwable failure) {
                // The silence check dials again.
            }

            @Override
            public void onCompleted() {
                // The silence check dials again.
            }
        });
    }

    private void receive(ManagedChannel from, PeerFrame frame) {
        if (from == channel) {
            owner.received(this, frame);
        }
    }

    /** Dials again if nothing proves that the peer answers. */
    void checkSilence(long nowNanos) {
        if (nowNanos - Math.max(dialedAt, provenAt) > SILENT_NANOS) {
            close();
            dial(nowNanos);
        }
    }

    void forgivePause(long nowNanos) {
        dialedAt = nowNanos;
    }

    void close() {
        SessionStreams.close(stream);
        channel.shutdownNow();
    }

    // -- frames

    void sendHeartbeat(long nowNanos) {
        long sequence = echoes.sending(nowNanos);
        SessionStreams.send(stream, PeerFrames.frame(owner.heartbeat(nowNanos).setSequence(sequence)));
    }

    void sendConfig(ConfigDocument document) {
        SessionStreams.send(stream, PeerFrame.newBuilder().setConfig(document).build());
    }

    /** Takes a heartbeat; returns the instant after which the peer certainly sent it. */
    long heard(PeerInfo info, long echoSequence) {
        peer = Optional.of(info);
        provenAt = Math.max(provenAt, echoes.sentAt(echoSequence, provenAt));
        return provenAt;
    }

    // -- accessors

    String address() {
        return address;
    }

    Optional<PeerInfo> peer() {
        return peer;
    }

    boolean leadsTo(Incarnation incarnation) {
        return peer.filter(info -> info.incarnation().equals(incarnation)).isPresent();
    }

    /** Tells whether the peer has spoken within the silence limit. */
    boolean isLive(long nowNanos) {
        return peer.isPresent() && nowNanos - provenAt <= SILENT_NANOS;
    }

    EntryServiceGrpc.EntryServiceStub calls() {
        return EntryServiceGrpc.newStub(channel);
    }
}
