package org.teaselhook.node.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;

import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.wire.EntryServiceGrpc;
import org.teaselhook.wire.ForwardReply;
import org.teaselhook.wire.ForwardRequest;

/**
 * A single forward call to another entry, cancelled when the caller no longer waits for it.
 */
final class ForwardCall implements ClientResponseObserver<ForwardRequest, ForwardReply> {

    private final Executor control;
    private final CompletionStage<Void> closed;
    private final CompletableFuture<Optional<Outcome>> result = new CompletableFuture<>();

    private ForwardCall(Executor control, CompletionStage<Void> closed) {
        this.control = control;
        this.closed = closed;
    }

    /** Sends a request; the stage completes on the control thread, empty if there is no usable reply. */
    static CompletionStage<Optional<Outcome>> send(
            EntryServiceGrpc.EntryServiceStub stub,
            ForwardRequest request,
            Executor control,
            CompletionStage<Void> closed) {
        ForwardCall call = new ForwardCall(control, closed);
        stub.forward(request, call);
        return call.result;
    }

    @Override
    public void beforeStart(ClientCallStreamObserver<ForwardRequest> call) {
        closed.thenRun(() -> call.cancel("the caller no longer waits for the reply", null));
    }

    @Override
    public void onNext(ForwardReply reply) {
        complete(ForwardMessages.outcome(reply));
    }

    @Override
    public void onError(Throwable failure) {
        complete(Optional.empty());
    }

    @Override
    public void onCompleted() {
        complete(Optional.empty());
    }

    private void complete(Optional<Outcome> outcome) {
        control.execute(() -> result.complete(outcome));
    }
}
