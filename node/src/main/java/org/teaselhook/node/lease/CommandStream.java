package org.teaselhook.node.lease;

import java.net.InetSocketAddress;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import org.teaselhook.wire.EntryServiceGrpc;
import org.teaselhook.wire.RunCommand;
import org.teaselhook.wire.RunReport;

/**
 * One stream to an entry, on a channel of its own. Frames are sent on the control thread.
 */
final class CommandStream implements ClientResponseObserver<RunReport, RunCommand> {

    private final InetSocketAddress address;
    private final ManagedChannel channel;
    private final Events events;
    private ClientCallStreamObserver<RunReport> requests;
    private volatile boolean ended;

    /** What happens on a stream; told on traffic threads. */
    interface Events {

        void received(CommandStream stream, RunCommand command);

        void ended(CommandStream stream, String reason);
    }

    private CommandStream(InetSocketAddress address, ManagedChannel channel, Events events) {
        this.address = address;
        this.channel = channel;
        this.events = events;
    }

    static CommandStream open(InetSocketAddress address, ManagedChannel channel, Events events) {
        CommandStream stream = new CommandStream(address, channel, events);
        EntryServiceGrpc.newStub(channel).runs(stream);
        return stream;
    }

    // -- used by the control thread

    InetSocketAddress address() {
        return address;
    }

    void send(RunReport report) {
        if (!ended) {
            requests.onNext(report);
        }
    }

    void abort(String reason) {
        ended = true;
        requests.cancel(reason, null);
        channel.shutdownNow();
    }

    // -- called on traffic threads

    @Override
    public void beforeStart(ClientCallStreamObserver<RunReport> stream) {
        requests = stream;
    }

    @Override
    public void onNext(RunCommand command) {
        events.received(this, command);
    }

    @Override
    public void onError(Throwable failure) {
        Status status = Status.fromThrowable(failure);
        String cause = status.getCause() == null ? "" : ": " + status.getCause().getMessage();
        end(status.getCode() + " " + status.getDescription() + cause);
    }

    @Override
    public void onCompleted() {
        end("closed by the entry");
    }

    private void end(String reason) {
        ended = true;
        channel.shutdownNow();
        events.ended(this, reason);
    }
}
