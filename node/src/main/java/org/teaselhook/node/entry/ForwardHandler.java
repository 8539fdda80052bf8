package org.teaselhook.node.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.claim.LookupResult;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.node.caller.SubmissionName;
import org.teaselhook.node.claim.ClaimService;
import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.wire.ForwardReply;
import org.teaselhook.wire.ForwardRequest;

/**
 * Handles submissions, queries and cancellations that other entries send. Confined to the control thread.
 */
final class ForwardHandler {

    /** Upper bound on the transit time of a submission between two entries whose link is live. */
    private static final long MAX_TRANSIT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final Incarnation self;
    private final ControlLoop control;
    private final Admissions admissions;
    private final ClaimService claims;
    private final UndecidedCopies undecided;

    ForwardHandler(
            Incarnation self,
            ControlLoop control,
            Admissions admissions,
            ClaimService claims,
            UndecidedCopies undecided) {
        this.self = self;
        this.control = control;
        this.admissions = admissions;
        this.claims = claims;
        this.undecided = undecided;
    }

    CompletionStage<ForwardReply> handle(long nowNanos, ForwardRequest request, CompletionStage<Void> closed) {
        if (request.getToIncarnation() != self.value()) {
            return CompletableFuture.completedFuture(ForwardReply.getDefaultInstance());
        }
        if (request.getJoinOnly()) {
            return join(nowNanos, request);
        }
        return admissions
                .admit(nowNanos, incoming(nowNanos, request, closed))
                .thenApply(named -> ForwardMessages.reply(named.name(), named.outcome()));
    }

    private static IncomingSubmission incoming(long nowNanos, ForwardRequest request, CompletionStage<Void> closed) {
        long receivedNanos = nowNanos - MAX_TRANSIT_NANOS - TimeUnit.MILLISECONDS.toNanos(request.getAgeMillis());
        Incarnation from = Incarnation.of(request.getFromIncarnation());
        return IncomingSubmission.forwarded(ForwardMessages.request(request), closed, receivedNanos, from);
    }

    private CompletionStage<ForwardReply> join(long nowNanos, ForwardRequest request) {
        SubmissionName name = ForwardMessages.name(request);
        if (request.getCancel()) {
            admissions.cancel(nowNanos, name);
        }
        Optional<CompletionStage<Outcome>> held = admissions.find(nowNanos, name, ForwardMessages.digest(request));
        return held.orElseGet(() -> notHeld(name, request))
                .thenApply(outcome -> ForwardMessages.reply(name.text(), outcome));
    }

    /** Copies that may still start make the outcome undecided, except the one that the requester is about to refuse. */
    private CompletionStage<Outcome> notHeld(SubmissionName name, ForwardRequest request) {
        if (undecided.count(name) > (request.getCopyIsYours() ? 1 : 0)) {
            return CompletableFuture.completedFuture(Outcomes.undecided());
        }
        if (name.kind() != SubmissionName.Kind.KEY) {
            return CompletableFuture.completedFuture(unknownJob(name));
        }
        return claims.lookup(name.text()).thenApplyAsync(found -> afterLookup(name, request, found), control);
    }

    /** If the requester holds the claim, only it can start the submission; it learns that by claiming the key again. */
    private static Outcome afterLookup(SubmissionName name, ForwardRequest request, LookupResult found) {
        if (!(found instanceof LookupResult.Held held)) {
            return unknownJob(name);
        }
        boolean heldByRequester = held.holder().value() == request.getFromIncarnation();
        return heldByRequester ? Outcomes.undecided() : Outcomes.holderLost(held.holder());
    }

    private static Outcome unknownJob(SubmissionName name) {
        return Outcome.notRun(SubmissionRegistry.unknownJob(name));
    }
}
