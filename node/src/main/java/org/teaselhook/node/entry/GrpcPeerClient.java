package org.teaselhook.node.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.node.peer.PeerInfo;
import org.teaselhook.node.peer.Peers;
import org.teaselhook.wire.ForwardRequest;

/**
 * Sends requests to other entries over their gRPC links.
 */
final class GrpcPeerClient implements PeerClient {

    private static final long DEADLINE_SLACK_MILLIS = 500;

    private final Peers peers;
    private final ControlLoop control;

    GrpcPeerClient(Peers peers, ControlLoop control) {
        this.peers = peers;
        this.control = control;
    }

    @Override
    public List<Incarnation> live() {
        return peers.live().stream().map(PeerInfo::incarnation).toList();
    }

    @Override
    public boolean allKnownLive() {
        return peers.allKnownLive();
    }

    @Override
    public CompletionStage<Optional<Outcome>> send(
            Incarnation to, ForwardRequest request, long timeoutMillis, CompletionStage<Void> closed) {
        return peers.stub(to)
                .map(stub -> stub.withDeadlineAfter(timeoutMillis + DEADLINE_SLACK_MILLIS, TimeUnit.MILLISECONDS))
                .map(stub -> ForwardCall.send(stub, request, control, closed))
                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
    }
}
