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
import org.teaselhook.node.claim.Claims;
import org.teaselhook.node.control.ControlLoop;

/**
 * Looks for earlier work under a key before a refusal says that it did not run. Confined to the control thread.
 *
 * <p>Work that was claimed is found in the log. Copies of the request that were received elsewhere and not claimed yet
 * are asked for at all entries. If some may exist, the refusal claims the key itself, so that none of them can start.
 */
final class EarlierWork {

    /** Without an answer within this time the refusal claims the key, which a longer wait could not make certain. */
    private static final long ASK_MILLIS = 300;

    private static final long CLAIM_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Incarnation self;
    private final ControlLoop control;
    private final Claims claims;
    private final OtherEntries others;
    private final SubmissionRegistry registry;
    private final UndecidedCopies undecided;
    private final RefusedNames refused;

    EarlierWork(
            Incarnation self,
            ControlLoop control,
            Claims claims,
            OtherEntries others,
            SubmissionRegistry registry,
            UndecidedCopies undecided,
            RefusedNames refused) {
        this.self = self;
        this.control = control;
        this.claims = claims;
        this.others = others;
        this.registry = registry;
        this.undecided = undecided;
        this.refused = refused;
    }

    /** A submission that is about to be refused. */
    private record Refused(SubmissionName name, Arrival arrival, Problem problem) {

        CompletionStage<Outcome> asNotRun() {
            return CompletableFuture.completedFuture(Outcome.notRun(problem));
        }

        Outcome asDoubtful(String cause, Incarnation at) {
            LogLine.of("refusal-doubtful")
                    .with("submission", name.text())
                    .with("cause", cause)
                    .with("at", at)
                    .info();
            return Outcome.mayHaveRun(problem);
        }

        boolean isDoubt(Outcome outcome) {
            return outcome instanceof Outcome.MayHaveRun mayHaveRun && mayHaveRun.problem() == problem;
        }
    }

    /**
     * Returns the outcome of earlier work, the refusal as "not run" if it is certain that nothing started and no copy
     * received so far will, or else the refusal as "may have run".
     */
    CompletionStage<Outcome> findOrRefuse(SubmissionName name, Arrival arrival, Problem problem) {
        Refused submission = new Refused(name, arrival, problem);
        return claims.lookup(name.text()).thenComposeAsync(found -> afterLookup(submission, found), control);
    }

    private CompletionStage<Outcome> afterLookup(Refused submission, LookupResult found) {
        if (found instanceof LookupResult.Held held) {
            return atHolder(submission, held.holder());
        }
        if (!((LookupResult.NotHeld) found).certain()) {
            return askAll(submission, others.timeoutMillis(submission.arrival()));
        }
        return askAll(submission, ASK_MILLIS)
                .thenComposeAsync(
                        outcome -> submission.isDoubt(outcome)
                                ? claimAsRefused(submission)
                                : CompletableFuture.completedFuture(outcome),
                        control);
    }

    private CompletionStage<Outcome> atHolder(Refused submission, Incarnation holder) {
        if (holder.equals(self)) {
            return CompletableFuture.completedFuture(Outcomes.answerNotKept());
        }
        undecided.add(submission.name());
        return others.forward(control.nowNanos(), holder, submission.name(), submission.arrival())
                .thenApply(reply -> {
                    undecided.remove(submission.name());
                    return reply.orElseGet(() -> Outcomes.holderLost(holder));
                });
    }

    // -- the other entries

    private CompletionStage<Outcome> askAll(Refused submission, long timeoutMillis) {
        CompletionStage<Outcome> result = CompletableFuture.completedFuture(ownView(submission));
        for (Incarnation peer : others.live()) {
            CompletionStage<Outcome> asked = others.join(peer, submission.name(), submission.arrival())
                    .toCompletableFuture()
                    .completeOnTimeout(Optional.empty(), timeoutMillis, TimeUnit.MILLISECONDS)
                    .thenApply(reply -> known(submission, peer, reply));
            result = result.thenCombine(asked, EarlierWork::stronger);
        }
        return result.thenComposeAsync(outcome -> unlessStartedHere(submission, outcome), control);
    }

    private Outcome ownView(Refused submission) {
        if (!others.noneLost()) {
            return submission.asDoubtful("entry-lost", self);
        }
        return undecided.count(submission.name()) > 0
                ? submission.asDoubtful("copy", self)
                : Outcome.notRun(submission.problem());
    }

    /** A copy that was passed on to this entry may have started while the others were asked. */
    private CompletionStage<Outcome> unlessStartedHere(Refused submission, Outcome outcome) {
        return registry.join(
                        submission.name(), OptionalLong.of(submission.arrival().digest()), control.nowNanos())
                .orElseGet(() -> CompletableFuture.completedFuture(outcome));
    }

    /** An entry that knows nothing leaves the refusal as it is; one that does not answer makes it doubtful. */
    private static Outcome known(Refused submission, Incarnation peer, Optional<Outcome> reply) {
        if (reply.isEmpty()) {
            return submission.asDoubtful("no-answer", peer);
        }
        if (isOf(reply.get(), ProblemKind.UNDECIDED)) {
            return submission.asDoubtful("copy", peer);
        }
        return isOf(reply.get(), ProblemKind.UNKNOWN_JOB) ? Outcome.notRun(submission.problem()) : reply.get();
    }

    private static boolean isOf(Outcome outcome, ProblemKind kind) {
        return outcome.fold(
                complete -> false,
                notRun -> notRun.problem().kind() == kind,
                mayHaveRun -> mayHaveRun.problem().kind() == kind);
    }

    /** Complete outweighs may have run, which outweighs not run. */
    private static Outcome stronger(Outcome one, Outcome other) {
        return rank(one) >= rank(other) ? one : other;
    }

    private static int rank(Outcome outcome) {
        return outcome.fold(complete -> 2, notRun -> 0, mayHaveRun -> 1);
    }

    // -- refusing by a claim

    /** Claims the key so that copies elsewhere cannot start, and gives the claim up unstarted. */
    private CompletionStage<Outcome> claimAsRefused(Refused submission) {
        long nowNanos = control.nowNanos();
        return claims.claim(submission.name().text(), submission.arrival().digest(), nowNanos + CLAIM_NANOS, nowNanos)
                .thenComposeAsync(result -> afterClaim(submission, result), control);
    }

    private CompletionStage<Outcome> afterClaim(Refused submission, ClaimResult result) {
        if (result instanceof ClaimResult.Won) {
            claims.abandon(submission.name().text());
            refused.add(submission.name(), submission.problem(), control.nowNanos());
            return submission.asNotRun();
        }
        if (result instanceof ClaimResult.HeldBy held) {
            return atHolder(submission, held.holder());
        }
        Outcome outcome = result instanceof ClaimResult.OtherBody
                ? Outcomes.otherBody()
                : submission.asDoubtful("not-claimed", self);
        return CompletableFuture.completedFuture(outcome);
    }
}
