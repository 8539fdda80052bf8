package org.teaselhook.node.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.teaselhook.core.claim.HomeEntry;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.rules.Rules;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.caller.SubmissionName;
import org.teaselhook.wire.ForwardRequest;

/**
 * Forwards submissions to other entries, and queries and cancels submissions there. Confined to the control thread.
 */
final class PeerRequests {

    private final Incarnation self;
    private final PeerClient peers;
    private final Supplier<Rules> rules;

    PeerRequests(Incarnation self, PeerClient peers, Supplier<Rules> rules) {
        this.self = self;
        this.peers = peers;
        this.rules = rules;
    }

    // -- requests

    /** Returns the home entry of a key, which is the preferred one to claim it. */
    Optional<Incarnation> home(String key) {
        List<Incarnation> live = new ArrayList<>();
        live.add(self);
        live.addAll(peers.live());
        return HomeEntry.of(key, live);
    }

    /** Forwards a submission; empty if that incarnation of the entry gave no usable reply. */
    CompletionStage<Optional<Outcome>> forward(
            long nowNanos, Incarnation to, SubmissionName name, IncomingSubmission incoming) {
        long timeoutMillis = timeoutMillis(incoming);
        LogLine.of("submission-forwarded")
                .with("submission", name.text())
                .with("to", to)
                .info();
        ForwardRequest request = ForwardMessages.admit(self, to, name, incoming, timeoutMillis, nowNanos);
        return peers.send(to, request, timeoutMillis, incoming.closed());
    }

    /** Joins the submission that another entry holds under a name; empty if that entry gave no usable reply. */
    CompletionStage<Optional<Outcome>> join(
            Incarnation to,
            SubmissionName name,
            OptionalLong digest,
            long timeoutMillis,
            CompletionStage<Void> closed) {
        return peers.send(to, ForwardMessages.join(to, name, digest, timeoutMillis), timeoutMillis, closed);
    }

    /** Cancels the submission that another entry holds under a name; empty if that entry gave no usable reply. */
    CompletionStage<Optional<Outcome>> cancel(Incarnation to, SubmissionName name, long timeoutMillis) {
        return peers.send(
                to, ForwardMessages.cancel(to, name, timeoutMillis), timeoutMillis, new CompletableFuture<>());
    }

    // -- checks before a refusal

    /** Returns the incarnations of other entries that are live and not stopping. */
    List<Incarnation> live() {
        return peers.live();
    }

    /** Tells whether every other incarnation that may know of a submission is live. */
    boolean allKnownLive() {
        return peers.allKnownLive();
    }

    /** Asks another entry whether it knows of a submission that is about to be refused here. */
    CompletionStage<Optional<Outcome>> joinBeforeRefusal(
            Incarnation to, SubmissionName name, IncomingSubmission incoming) {
        long timeoutMillis = timeoutMillis(incoming);
        ForwardRequest request = ForwardMessages.joinBeforeRefusal(self, to, name, incoming, timeoutMillis);
        return peers.send(to, request, timeoutMillis, incoming.closed());
    }

    /** Returns the timeout of a submission's caller. */
    long timeoutMillis(IncomingSubmission incoming) {
        return TimeUnit.NANOSECONDS.toMillis(AdmissionCheck.timeoutNanos(rules.get(), incoming.request()));
    }
}
