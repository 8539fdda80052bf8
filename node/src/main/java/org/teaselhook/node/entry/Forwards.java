package org.teaselhook.node.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.claim.LookupResult;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.node.caller.SubmissionName;
import org.teaselhook.node.claim.Claims;
import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.wire.ForwardReply;
import org.teaselhook.wire.ForwardRequest;

/**
 * Answers what other entries pass on or ask. Confined to the control thread.
 */
final class Forwards {

    /** The longest time that a submission is on its way between two entries whose link is not silent. */
    private static final long TRANSIT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final Incarnation self;
    private final ControlLoop control;
    private final Admissions admissions;
    private final Claims claims;
    private final UndecidedCopies undecided;

    Forwards(Incarnation self, ControlLoop control, Admissions admissions, Claims claims, UndecidedCopies undecided) {
        this.self = self;
        this.control = control;
        this.admissions = admissions;
        this.claims = claims;
        this.undecided = undecided;
    }

    CompletionStage<ForwardReply> received(long nowNanos, ForwardRequest request, CompletionStage<Void> closed) {
        if (request.getToIncarnation() != self.value()) {
            return CompletableFuture.completedFuture(ForwardReply.getDefaultInstance());
        }
        if (request.getJoinOnly()) {
            return join(nowNanos, request);
        }
        return admissions
                .admit(nowNanos, arrival(nowNanos, request, closed))
                .thenApply(named -> ForwardMessages.reply(named.name(), named.outcome()));
    }

    private static Arrival arrival(long nowNanos, ForwardRequest request, CompletionStage<Void> closed) {
        long receivedNanos = nowNanos - TRANSIT_NANOS - TimeUnit.MILLISECONDS.toNanos(request.getAgeMillis());
        Incarnation from = Incarnation.of(request.getFromIncarnation());
        return Arrival.passedOn(ForwardMessages.request(request), closed, receivedNanos, from);
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

    /** A copy that may still start counts, but not the one for which the asker itself is about to answer. */
    private CompletionStage<Outcome> notHeld(SubmissionName name, ForwardRequest request) {
        if (undecided.count(name) > (request.getCopyIsYours() ? 1 : 0)) {
            return CompletableFuture.completedFuture(Outcomes.undecided());
        }
        if (name.kind() != SubmissionName.Kind.KEY) {
            return CompletableFuture.completedFuture(unknown(name));
        }
        return claims.lookup(name.text()).thenApplyAsync(found -> afterLookup(name, request, found), control);
    }

    /** Under a claim of the asker itself only the asker can start, which it finds out by claiming the key again. */
    private static Outcome afterLookup(SubmissionName name, ForwardRequest request, LookupResult found) {
        if (!(found instanceof LookupResult.Held held)) {
            return unknown(name);
        }
        boolean heldByAsker = held.holder().value() == request.getFromIncarnation();
        return heldByAsker ? Outcomes.undecided() : Outcomes.holderLost(held.holder());
    }

    private static Outcome unknown(SubmissionName name) {
        return Outcome.notRun(SubmissionRegistry.unknownJob(name));
    }
}
