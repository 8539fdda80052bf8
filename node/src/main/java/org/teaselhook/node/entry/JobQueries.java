package org.teaselhook.node.entry;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Stream;

import org.teaselhook.core.claim.LookupResult;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.node.caller.SubmissionName;
import org.teaselhook.node.claim.Claims;
import org.teaselhook.node.control.ControlLoop;

/**
 * Finds and cancels submissions by name, here or at the entry that holds them. Confined to the control thread.
 */
final class JobQueries {

    private final Incarnation self;
    private final ControlLoop control;
    private final Admissions admissions;
    private final OtherEntries others;
    private final Claims claims;

    JobQueries(Incarnation self, ControlLoop control, Admissions admissions, OtherEntries others, Claims claims) {
        this.self = self;
        this.control = control;
        this.admissions = admissions;
        this.others = others;
        this.claims = claims;
    }

    /** Joins a submission; empty if nothing is known under that name. */
    CompletionStage<Optional<Outcome>> find(
            long nowNanos, String id, long timeoutMillis, CompletionStage<Void> closed) {
        Optional<CompletionStage<Outcome>> held = names(id)
                .flatMap(name -> admissions.find(nowNanos, name, OptionalLong.empty()).stream())
                .findFirst();
        return held.map(outcome -> outcome.thenApply(Optional::of))
                .orElseGet(() -> elsewhere(
                        id, holder -> others.join(holder, nameAt(id), OptionalLong.empty(), timeoutMillis, closed)));
    }

    /** Cancels a submission; empty if nothing is known under that name. */
    CompletionStage<Optional<Outcome>> cancel(
            long nowNanos, String id, long timeoutMillis, CompletionStage<Void> closed) {
        boolean heldHere = names(id)
                .anyMatch(name ->
                        admissions.find(nowNanos, name, OptionalLong.empty()).isPresent());
        if (heldHere) {
            CompletionStage<Optional<Outcome>> outcome = find(nowNanos, id, timeoutMillis, closed);
            names(id).forEach(name -> admissions.cancel(nowNanos, name));
            return outcome;
        }
        return elsewhere(id, holder -> others.cancel(holder, nameAt(id), timeoutMillis));
    }

    // -- other entries

    private interface AtHolder {
        CompletionStage<Optional<Outcome>> ask(Incarnation holder);
    }

    private CompletionStage<Optional<Outcome>> elsewhere(String id, AtHolder call) {
        return holder(id)
                .thenComposeAsync(
                        holder -> holder.filter(entry -> !entry.equals(self))
                                .map(entry -> call.ask(entry).thenApply(reply -> known(reply, entry)))
                                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty())),
                        control);
    }

    private CompletionStage<Optional<Incarnation>> holder(String id) {
        Optional<Incarnation> issuer = SubmissionNames.issuer(id);
        if (issuer.isPresent()) {
            return CompletableFuture.completedFuture(issuer);
        }
        return claims.lookup(id)
                .thenApply(found -> found instanceof LookupResult.Held held
                        ? Optional.of(held.holder())
                        : Optional.<Incarnation>empty());
    }

    private static Optional<Outcome> known(Optional<Outcome> reply, Incarnation holder) {
        if (reply.isEmpty()) {
            return Optional.of(Outcomes.holderLost(holder));
        }
        return reply.filter(outcome ->
                !(outcome instanceof Outcome.NotRun notRun && notRun.problem().kind() == ProblemKind.UNKNOWN_JOB));
    }

    // -- names

    private static SubmissionName nameAt(String id) {
        return SubmissionNames.issuer(id).isPresent() ? SubmissionNames.ofIssued(id) : SubmissionName.key(id);
    }

    private static Stream<SubmissionName> names(String id) {
        return Stream.of(SubmissionName.key(id), SubmissionName.ticket(id), SubmissionName.generated(id));
    }
}
