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
 * The entry's gRPC service, which passes messages from agents and other entries to the control thread.
 */
final class EntryGrpcService extends EntryServiceGrpc.EntryServiceImplBase {

    private final ControlLoop control;
    private final AgentSessions sessions;
    private final Peers peers;
    private final ForwardHandler forwardHandler;

    EntryGrpcService(ControlLoop control, AgentSessions sessions, Peers peers, ForwardHandler forwardHandler) {
        this.control = Objects.requireNonNull(control, "control is null");
        this.sessions = Objects.requireNonNull(sessions, "sessions is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.forwardHandler = Objects.requireNonNull(forwardHandler, "forwardHandler is null");
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
                control.execute(() -> sessions.agentConnected(control.nowNanos(), stream, frame.getHello()));
            } else if (agent != null) {
                Incarnation sender = agent;
                control.execute(() -> sessions.frameReceived(control.nowNanos(), sender, stream, frame));
            }
        }

        @Override
        public void onError(Throwable failure) {
            closeSession();
        }

        @Override
        public void onCompleted() {
            closeSession();
        }

        private void closeSession() {
            Incarnation sender = agent;
            if (sender != null) {
                control.execute(() -> sessions.streamEnded(control.nowNanos(), sender, stream));
            }
            SessionStreams.close(stream);
        }
    }

    // -- other entries

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
        control.execute(() -> forwardHandler
                .handle(control.nowNanos(), request, closed)
                .thenAccept(answer -> control.execute(() -> respond(reply, answer))));
    }

    private static <T> void respond(StreamObserver<T> observer, T reply) {
        if (SessionStreams.send(observer, reply)) {
            observer.onCompleted();
        }
    }
}
