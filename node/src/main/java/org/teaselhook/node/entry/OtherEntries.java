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
 * Passes submissions to other entries and asks them what they hold. Confined to the control thread.
 */
final class OtherEntries {

    private final Incarnation self;
    private final PeerCalls peers;
    private final Supplier<Rules> rules;

    OtherEntries(Incarnation self, PeerCalls peers, Supplier<Rules> rules) {
        this.self = self;
        this.peers = peers;
        this.rules = rules;
    }

    // -- passing on

    /** Returns the entry at which a key is best claimed. */
    Optional<Incarnation> home(String key) {
        List<Incarnation> live = new ArrayList<>();
        live.add(self);
        live.addAll(peers.live());
        return HomeEntry.of(key, live);
    }

    /** Passes a submission on; empty if that run of the entry gave no answer. */
    CompletionStage<Optional<Outcome>> forward(long nowNanos, Incarnation to, SubmissionName name, Arrival arrival) {
        long timeoutMillis = timeoutMillis(arrival);
        LogLine.of("submission-forwarded")
                .with("submission", name.text())
                .with("to", to)
                .info();
        ForwardRequest request = ForwardMessages.admit(self, to, name, arrival, timeoutMillis, nowNanos);
        return peers.send(to, request, timeoutMillis, arrival.closed());
    }

    /** Asks a run of an entry for what it holds under a name; empty if it gives no answer. */
    CompletionStage<Optional<Outcome>> join(
            Incarnation to,
            SubmissionName name,
            OptionalLong digest,
            long timeoutMillis,
            CompletionStage<Void> closed) {
        return peers.send(to, ForwardMessages.join(to, name, digest, timeoutMillis), timeoutMillis, closed);
    }

    /** Has a run of an entry cancel what it holds under a name; empty if it gives no answer. */
    CompletionStage<Optional<Outcome>> cancel(Incarnation to, SubmissionName name, long timeoutMillis) {
        return peers.send(
                to, ForwardMessages.cancel(to, name, timeoutMillis), timeoutMillis, new CompletableFuture<>());
    }

    // -- before a refusal

    /** Returns the runs of other entries that answer now. */
    List<Incarnation> live() {
        return peers.live();
    }

    /** Tells whether every other run that may know of a submission answers now. */
    boolean noneLost() {
        return peers.noneLost();
    }

    /** Asks a run of an entry whether it knows of a submission that is about to be refused here. */
    CompletionStage<Optional<Outcome>> join(Incarnation to, SubmissionName name, Arrival arrival) {
        long timeoutMillis = timeoutMillis(arrival);
        ForwardRequest request = ForwardMessages.beforeRefusal(self, to, name, arrival, timeoutMillis);
        return peers.send(to, request, timeoutMillis, arrival.closed());
    }

    /** Returns how long the caller of a submission waits. */
    long timeoutMillis(Arrival arrival) {
        return TimeUnit.NANOSECONDS.toMillis(AdmissionCheck.timeoutNanos(rules.get(), arrival.request()));
    }
}
