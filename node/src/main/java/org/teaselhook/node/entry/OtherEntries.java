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
import org.teaselhook.core.claim.LookupResult;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.core.rules.Rules;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.caller.SubmissionName;
import org.teaselhook.node.claim.Claims;
import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.node.peer.PeerInfo;
import org.teaselhook.node.peer.Peers;
import org.teaselhook.wire.ForwardRequest;

/**
 * Passes submissions to other entries and asks them what they hold. Confined to the control thread.
 */
final class OtherEntries {

    private static final long SLACK_MILLIS = 500;

    private final Incarnation self;
    private final ControlLoop control;
    private final Peers peers;
    private final Claims claims;
    private final Supplier<Rules> rules;

    OtherEntries(Incarnation self, ControlLoop control, Peers peers, Claims claims, Supplier<Rules> rules) {
        this.self = self;
        this.control = control;
        this.peers = peers;
        this.claims = claims;
        this.rules = rules;
    }

    // -- passing on

    /** Returns the entry at which a key is best claimed. */
    Optional<Incarnation> home(String key) {
        List<Incarnation> live = new ArrayList<>();
        live.add(self);
        peers.live().stream().map(PeerInfo::incarnation).forEach(live::add);
        return HomeEntry.of(key, live);
    }

    /** Passes a submission on; empty if that run of the entry gave no answer. */
    CompletionStage<Optional<Outcome>> forward(long nowNanos, Incarnation to, SubmissionName name, Arrival arrival) {
        long timeoutMillis = TimeUnit.NANOSECONDS.toMillis(AdmissionCheck.timeoutNanos(rules.get(), arrival.request()));
        LogLine.of("submission-forwarded")
                .with("submission", name.text())
                .with("to", to)
                .info();
        return call(to, ForwardMessages.admit(to, name, arrival, timeoutMillis), timeoutMillis, arrival.closed());
    }

    /** Asks a run of an entry for what it holds under a name; empty if it gives no answer. */
    CompletionStage<Optional<Outcome>> join(
            Incarnation to,
            SubmissionName name,
            OptionalLong digest,
            long timeoutMillis,
            CompletionStage<Void> closed) {
        return call(to, ForwardMessages.join(to, name, digest, timeoutMillis), timeoutMillis, closed);
    }

    /** Has a run of an entry cancel what it holds under a name; empty if it gives no answer. */
    CompletionStage<Optional<Outcome>> cancel(Incarnation to, SubmissionName name, long timeoutMillis) {
        return call(to, ForwardMessages.cancel(to, name, timeoutMillis), timeoutMillis, new CompletableFuture<>());
    }

    private CompletionStage<Optional<Outcome>> call(
            Incarnation to, ForwardRequest request, long timeoutMillis, CompletionStage<Void> closed) {
        return peers.calls(to)
                .map(stub -> stub.withDeadlineAfter(timeoutMillis + SLACK_MILLIS, TimeUnit.MILLISECONDS))
                .map(stub -> ForwardCall.send(stub, request, control, closed))
                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
    }

    // -- before a refusal

    /**
     * Looks for earlier work under a key before a refusal says that it did not run. If some entry that may know does
     * not answer, the outcome is that the work may have run.
     */
    CompletionStage<Outcome> findElsewhere(long nowNanos, SubmissionName name, Arrival arrival, Problem refusal) {
        return claims.lookup(name.text())
                .thenComposeAsync(found -> afterLookup(control.nowNanos(), name, arrival, refusal, found), control);
    }

    private CompletionStage<Outcome> afterLookup(
            long nowNanos, SubmissionName name, Arrival arrival, Problem refusal, LookupResult found) {
        if (found instanceof LookupResult.Held held) {
            return held.holder().equals(self)
                    ? CompletableFuture.completedFuture(Outcomes.answerNotKept())
                    : forward(nowNanos, held.holder(), name, arrival)
                            .thenApply(reply -> reply.orElseGet(() -> Outcomes.holderLost(held.holder())));
        }
        if (((LookupResult.NotHeld) found).certain()) {
            return CompletableFuture.completedFuture(Outcome.notRun(refusal));
        }
        return askAll(name, arrival, refusal);
    }

    private CompletionStage<Outcome> askAll(SubmissionName name, Arrival arrival, Problem refusal) {
        long timeoutMillis = TimeUnit.NANOSECONDS.toMillis(AdmissionCheck.timeoutNanos(rules.get(), arrival.request()));
        CompletionStage<Outcome> result = CompletableFuture.completedFuture(ownView(name, refusal));
        for (PeerInfo peer : peers.live()) {
            CompletionStage<Outcome> asked = join(
                            peer.incarnation(),
                            name,
                            OptionalLong.of(arrival.digest()),
                            timeoutMillis,
                            arrival.closed())
                    .thenApply(reply -> known(name, peer.incarnation(), reply, refusal));
            result = result.thenCombine(asked, OtherEntries::stronger);
        }
        return result;
    }

    private Outcome ownView(SubmissionName name, Problem refusal) {
        if (peers.noneLost()) {
            return Outcome.notRun(refusal);
        }
        logDoubt(name).with("cause", "entry-lost").info();
        return Outcome.mayHaveRun(refusal);
    }

    private static LogLine logDoubt(SubmissionName name) {
        return LogLine.of("refusal-doubtful").with("submission", name.text());
    }

    /** An entry that knows nothing leaves the refusal as it is; one that does not answer makes it doubtful. */
    private static Outcome known(SubmissionName name, Incarnation asked, Optional<Outcome> reply, Problem refusal) {
        if (reply.isEmpty()) {
            logDoubt(name).with("cause", "no-answer").with("asked", asked).info();
            return Outcome.mayHaveRun(refusal);
        }
        if (reply.get() instanceof Outcome.NotRun notRun && notRun.problem().kind() == ProblemKind.UNKNOWN_JOB) {
            return Outcome.notRun(refusal);
        }
        return reply.get();
    }

    /** Complete outweighs may have run, which outweighs not run. */
    private static Outcome stronger(Outcome one, Outcome other) {
        return rank(one) >= rank(other) ? one : other;
    }

    private static int rank(Outcome outcome) {
        return outcome.fold(complete -> 2, notRun -> 0, mayHaveRun -> 1);
    }
}
