package org.teaselhook.node.agent;

import java.net.InetSocketAddress;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import org.teaselhook.wire.AgentFrame;
import org.teaselhook.wire.EntryFrame;
import org.teaselhook.wire.EntryServiceGrpc.EntryServiceStub;

/**
 * A gRPC stream on its own channel.
 */
final class GrpcEntryStream implements EntryStream, ClientResponseObserver<AgentFrame, EntryFrame> {

    private final InetSocketAddress address;
    private final ManagedChannel channel;
    private final StreamListener listener;
    private ClientCallStreamObserver<AgentFrame> requests;
    private volatile boolean ended;

    GrpcEntryStream(InetSocketAddress address, ManagedChannel channel, StreamListener listener) {
        this.address = address;
        this.channel = channel;
        this.listener = listener;
    }

    void open(EntryServiceStub stub) {
        stub.session(this);
    }

    // -- called on the control thread

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public void send(AgentFrame frame) {
        if (!ended) {
            requests.onNext(frame);
        }
    }

    @Override
    public void finish() {
        if (!ended) {
            ended = true;
            requests.onCompleted();
        }
        channel.shutdown();
    }

    @Override
    public void abort() {
        ended = true;
        requests.cancel("replaced by a new connection", null);
        channel.shutdownNow();
    }

    // -- called on I/O threads

    @Override
    public void beforeStart(ClientCallStreamObserver<AgentFrame> stream) {
        requests = stream;
    }

    @Override
    public void onNext(EntryFrame frame) {
        listener.frameReceived(this, frame);
    }

    @Override
    public void onError(Throwable failure) {
        terminate(String.valueOf(Status.fromThrowable(failure)));
    }

    @Override
    public void onCompleted() {
        terminate("closed by the entry");
    }

    private void terminate(String reason) {
        ended = true;
        channel.shutdownNow();
        listener.streamEnded(this, reason);
    }
}
