package org.teaselhook.node.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

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

    private final Incarnation self;
    private final ControlLoop control;
    private final Admissions admissions;
    private final Claims claims;

    Forwards(Incarnation self, ControlLoop control, Admissions admissions, Claims claims) {
        this.self = self;
        this.control = control;
        this.admissions = admissions;
        this.claims = claims;
    }

    CompletionStage<ForwardReply> received(long nowNanos, ForwardRequest request, CompletionStage<Void> closed) {
        if (request.getToIncarnation() != self.value()) {
            return CompletableFuture.completedFuture(ForwardReply.getDefaultInstance());
        }
        if (request.getJoinOnly()) {
            return join(nowNanos, request);
        }
        return admissions
                .admit(nowNanos, Arrival.of(ForwardMessages.request(request), closed, true))
                .thenApply(named -> ForwardMessages.reply(named.name(), named.outcome()));
    }

    private CompletionStage<ForwardReply> join(long nowNanos, ForwardRequest request) {
        SubmissionName name = ForwardMessages.name(request);
        if (request.getCancel()) {
            admissions.cancel(nowNanos, name);
        }
        Optional<CompletionStage<Outcome>> held = admissions.find(nowNanos, name, ForwardMessages.digest(request));
        return held.orElseGet(() -> notHere(name)).thenApply(outcome -> ForwardMessages.reply(name.text(), outcome));
    }

    private CompletionStage<Outcome> notHere(SubmissionName name) {
        if (name.kind() != SubmissionName.Kind.KEY) {
            return CompletableFuture.completedFuture(Outcome.notRun(SubmissionRegistry.unknownJob(name)));
        }
        return claims.lookup(name.text())
                .thenApplyAsync(
                        found -> found instanceof LookupResult.Held held
                                ? Outcomes.holderLost(held.holder())
                                : Outcome.notRun(SubmissionRegistry.unknownJob(name)),
                        control);
    }
}
