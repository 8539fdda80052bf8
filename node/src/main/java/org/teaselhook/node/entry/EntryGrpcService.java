package org.teaselhook.node.entry;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.node.peer.Peers;
import org.teaselhook.node.session.AgentSessions;
import org.teaselhook.node.session.SessionStreams;
import org.teaselhook.wire.AgentFrame;
import org.teaselhook.wire.AgentsReply;
import org.teaselhook.wire.AgentsRequest;
import org.teaselhook.wire.EntryFrame;
import org.teaselhook.wire.EntryServiceGrpc;
import org.teaselhook.wire.ForwardReply;
import org.teaselhook.wire.ForwardRequest;
import org.teaselhook.wire.PeerFrame;

/**
 * Hands what agents and other entries send to the control thread.
 */
final class EntryGrpcService extends EntryServiceGrpc.EntryServiceImplBase {

    private final ControlLoop control;
    private final AgentSessions sessions;
    private final Peers peers;
    private final Forwards forwards;

    EntryGrpcService(ControlLoop control, AgentSessions sessions, Peers peers, Forwards forwards) {
        this.control = Objects.requireNonNull(control, "control is null");
        this.sessions = Objects.requireNonNull(sessions, "sessions is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.forwards = Objects.requireNonNull(forwards, "forwards is null");
    }

    // -- agents

    @Override
    public StreamObserver<AgentFrame> session(StreamObserver<EntryFrame> stream) {
        return new AgentStream(stream);
    }

    private final class AgentStream implements StreamObserver<AgentFrame> {

        private final StreamObserver<EntryFrame> stream;
        private volatile Incarnation agent;

        AgentStream(StreamObserver<EntryFrame> stream) {
            this.stream = stream;
        }

        @Override
        public void onNext(AgentFrame frame) {
            if (frame.hasHello() && agent == null && frame.getHello().getIncarnation() != 0) {
                agent = Incarnation.of(frame.getHello().getIncarnation());
                control.execute(() -> sessions.connected(control.nowNanos(), stream, frame.getHello()));
            } else if (agent != null) {
                Incarnation sender = agent;
                control.execute(() -> sessions.received(control.nowNanos(), sender, stream, frame));
            }
        }

        @Override
        public void onError(Throwable failure) {
            ended();
        }

        @Override
        public void onCompleted() {
            ended();
        }

        private void ended() {
            Incarnation sender = agent;
            if (sender != null) {
                control.execute(() -> sessions.disconnected(control.nowNanos(), sender, stream));
            }
            SessionStreams.close(stream);
        }
    }

    // -- entries

    @Override
    public StreamObserver<PeerFrame> peer(StreamObserver<PeerFrame> stream) {
        return new StreamObserver<>() {
            @Override
            public void onNext(PeerFrame frame) {
                control.execute(() -> peers.received(control.nowNanos(), stream, frame));
            }

            @Override
            public void onError(Throwable failure) {
                SessionStreams.close(stream);
            }

            @Override
            public void onCompleted() {
                SessionStreams.close(stream);
            }
        };
    }

    @Override
    public void agents(AgentsRequest request, StreamObserver<AgentsReply> reply) {
        control.execute(() -> respond(reply, PeerAgents.reply(sessions.connectedAgents())));
    }

    @Override
    public void forward(ForwardRequest request, StreamObserver<ForwardReply> reply) {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        ((ServerCallStreamObserver<ForwardReply>) reply).setOnCancelHandler(() -> closed.complete(null));
        control.execute(() -> forwards.received(control.nowNanos(), request, closed)
                .thenAccept(answer -> control.execute(() -> respond(reply, answer))));
    }

    private static <T> void respond(StreamObserver<T> reply, T answer) {
        if (SessionStreams.send(reply, answer)) {
            reply.onCompleted();
        }
    }
}
