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
 * Calls to the other entries over their links.
 */
final class GrpcPeerCalls implements PeerCalls {

    private static final long SLACK_MILLIS = 500;

    private final Peers peers;
    private final ControlLoop control;

    GrpcPeerCalls(Peers peers, ControlLoop control) {
        this.peers = peers;
        this.control = control;
    }

    @Override
    public List<Incarnation> live() {
        return peers.live().stream().map(PeerInfo::incarnation).toList();
    }

    @Override
    public boolean noneLost() {
        return peers.noneLost();
    }

    @Override
    public CompletionStage<Optional<Outcome>> send(
            Incarnation to, ForwardRequest request, long timeoutMillis, CompletionStage<Void> closed) {
        return peers.calls(to)
                .map(stub -> stub.withDeadlineAfter(timeoutMillis + SLACK_MILLIS, TimeUnit.MILLISECONDS))
                .map(stub -> ForwardCall.send(stub, request, control, closed))
                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
    }
}
