package org.teaselhook.node.entry;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.claim.ClaimResult;
import org.teaselhook.core.claim.LookupResult;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.caller.SubmissionName;
import org.teaselhook.node.claim.ClaimService;
import org.teaselhook.node.control.ControlLoop;

/**
 * Checks for earlier work under a key before a refusal states that the submission did not run. Confined to the control
 * thread.
 *
 * <p>Claimed work is found in the log of claims. Copies of the request that other entries have received but not yet
 * claimed are found by querying all entries. If such copies may exist, the refusal claims the key itself, so that none
 * of them can start.
 */
final class RefusalCheck {

    /**
     * If an entry does not respond within this time, the refusal claims the key: a longer wait could not give the
     * certainty that the claim gives.
     */
    private static final long QUERY_TIMEOUT_MILLIS = 300;

    private static final long CLAIM_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Incarnation self;
    private final ControlLoop control;
    private final ClaimService claims;
    private final PeerRequests peerRequests;
    private final SubmissionRegistry registry;
    private final UndecidedCopies undecided;
    private final RefusedNames refused;

    RefusalCheck(
            Incarnation self,
            ControlLoop control,
            ClaimService claims,
            PeerRequests peerRequests,
            SubmissionRegistry registry,
            UndecidedCopies undecided,
            RefusedNames refused) {
        this.self = self;
        this.control = control;
        this.claims = claims;
        this.peerRequests = peerRequests;
        this.registry = registry;
        this.undecided = undecided;
        this.refused = refused;
    }

    /** A submission that is about to be refused. */
    private record PendingRefusal(SubmissionName name, IncomingSubmission incoming, Problem problem) {

        CompletionStage<Outcome> asNotRun() {
            return CompletableFuture.completedFuture(Outcome.notRun(problem));
        }

        Outcome asUncertain(String cause, Incarnation at) {
            LogLine.of("refusal-doubtful")
                    .with("submission", name.text())
                    .with("cause", cause)
                    .with("at", at)
                    .info();
            return Outcome.mayHaveRun(problem);
        }

        boolean isUncertain(Outcome outcome) {
            return outcome instanceof Outcome.MayHaveRun mayHaveRun && mayHaveRun.problem() == problem;
        }
    }

    /**
     * Returns the outcome of earlier work if there is any. Otherwise returns the refusal, as "not run" if it is certain
     * that nothing started and that no copy received so far will start, else as "may have run".
     */
    CompletionStage<Outcome> findOrRefuse(SubmissionName name, IncomingSubmission incoming, Problem problem) {
        PendingRefusal refusal = new PendingRefusal(name, incoming, problem);
        return claims.lookup(name.text()).thenComposeAsync(found -> afterLookup(refusal, found), control);
    }

    private CompletionStage<Outcome> afterLookup(PendingRefusal refusal, LookupResult found) {
        if (found instanceof LookupResult.Held held) {
            return forwardToHolder(refusal, held.holder());
        }
        if (!((LookupResult.NotHeld) found).certain()) {
            return queryPeers(refusal, peerRequests.timeoutMillis(refusal.incoming()));
        }
        return queryPeers(refusal, QUERY_TIMEOUT_MILLIS)
                .thenComposeAsync(
                        outcome -> refusal.isUncertain(outcome)
                                ? refuseByClaim(refusal)
                                : CompletableFuture.completedFuture(outcome),
                        control);
    }

    private CompletionStage<Outcome> forwardToHolder(PendingRefusal refusal, Incarnation holder) {
        if (holder.equals(self)) {
            return CompletableFuture.completedFuture(Outcomes.answerUnavailable());
        }
        undecided.add(refusal.name());
        return peerRequests
                .forward(control.nowNanos(), holder, refusal.name(), refusal.incoming())
                .thenApply(reply -> {
                    undecided.remove(refusal.name());
                    return reply.orElseGet(() -> Outcomes.holderLost(holder));
                });
    }

    // -- queries to other entries

    private CompletionStage<Outcome> queryPeers(PendingRefusal refusal, long timeoutMillis) {
        CompletionStage<Outcome> result = CompletableFuture.completedFuture(localOutcome(refusal));
        for (Incarnation peer : peerRequests.live()) {
            CompletionStage<Outcome> answer = peerRequests
                    .joinBeforeRefusal(peer, refusal.name(), refusal.incoming())
                    .toCompletableFuture()
                    .completeOnTimeout(Optional.empty(), timeoutMillis, TimeUnit.MILLISECONDS)
                    .thenApply(reply -> outcomeOf(refusal, peer, reply));
            result = result.thenCombine(answer, RefusalCheck::stronger);
        }
        return result.thenComposeAsync(outcome -> joinIfStartedHere(refusal, outcome), control);
    }

    private Outcome localOutcome(PendingRefusal refusal) {
        if (!peerRequests.allKnownLive()) {
            return refusal.asUncertain("entry-lost", self);
        }
        return undecided.count(refusal.name()) > 0
                ? refusal.asUncertain("copy", self)
                : Outcome.notRun(refusal.problem());
    }

    /** A copy that was forwarded to this entry may have started while the other entries were queried. */
    private CompletionStage<Outcome> joinIfStartedHere(PendingRefusal refusal, Outcome outcome) {
        return registry.join(refusal.name(), OptionalLong.of(refusal.incoming().digest()), control.nowNanos())
                .orElseGet(() -> CompletableFuture.completedFuture(outcome));
    }

    /** An entry that does not know the submission confirms the refusal; a missing reply makes it uncertain. */
    private static Outcome outcomeOf(PendingRefusal refusal, Incarnation peer, Optional<Outcome> reply) {
        if (reply.isEmpty()) {
            return refusal.asUncertain("no-answer", peer);
        }
        if (hasProblem(reply.get(), ProblemKind.UNDECIDED)) {
            return refusal.asUncertain("copy", peer);
        }
        return hasProblem(reply.get(), ProblemKind.UNKNOWN_JOB) ? Outcome.notRun(refusal.problem()) : reply.get();
    }

    private static boolean hasProblem(Outcome outcome, ProblemKind kind) {
        return outcome.fold(
                complete -> false,
                notRun -> notRun.problem().kind() == kind,
                mayHaveRun -> mayHaveRun.problem().kind() == kind);
    }

    /** "Complete" takes precedence over "may have run", which takes precedence over "not run". */
    private static Outcome stronger(Outcome one, Outcome other) {
        return rank(one) >= rank(other) ? one : other;
    }

    private static int rank(Outcome outcome) {
        return outcome.fold(complete -> 2, notRun -> 0, mayHaveRun -> 1);
    }

    // -- refusal by claiming the key

    /** Claims the key so that copies at other entries cannot start, and abandons the claim without starting. */
    private CompletionStage<Outcome> refuseByClaim(PendingRefusal refusal) {
        long nowNanos = control.nowNanos();
        return claims.claim(
                        refusal.name().text(), refusal.incoming().digest(), nowNanos + CLAIM_TIMEOUT_NANOS, nowNanos)
                .thenComposeAsync(result -> afterClaim(refusal, result), control);
    }

    private CompletionStage<Outcome> afterClaim(PendingRefusal refusal, ClaimResult result) {
        if (result instanceof ClaimResult.Acquired) {
            claims.abandon(refusal.name().text());
            refused.add(refusal.name(), refusal.problem(), control.nowNanos());
            return refusal.asNotRun();
        }
        if (result instanceof ClaimResult.HeldByOther held) {
            return forwardToHolder(refusal, held.holder());
        }
        Outcome outcome = result instanceof ClaimResult.BodyMismatch
                ? Outcomes.bodyMismatch()
                : refusal.asUncertain("not-claimed", self);
        return CompletableFuture.completedFuture(outcome);
    }
}
