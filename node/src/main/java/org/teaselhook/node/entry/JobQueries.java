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
import org.teaselhook.node.claim.ClaimService;
import org.teaselhook.node.control.ControlLoop;

/**
 * Looks up and cancels submissions by name, here or at the entry that holds them. Confined to the control thread.
 */
final class JobQueries {

    private final Incarnation self;
    private final ControlLoop control;
    private final Admissions admissions;
    private final PeerRequests peerRequests;
    private final ClaimService claims;

    JobQueries(
            Incarnation self,
            ControlLoop control,
            Admissions admissions,
            PeerRequests peerRequests,
            ClaimService claims) {
        this.self = self;
        this.control = control;
        this.admissions = admissions;
        this.peerRequests = peerRequests;
        this.claims = claims;
    }

    /** Joins a submission; empty if the name is unknown. */
    CompletionStage<Optional<Outcome>> find(
            long nowNanos, String id, long timeoutMillis, CompletionStage<Void> closed) {
        Optional<CompletionStage<Outcome>> held = possibleNames(id)
                .flatMap(name -> admissions.find(nowNanos, name, OptionalLong.empty()).stream())
                .findFirst();
        return held.map(outcome -> outcome.thenApply(Optional::of))
                .orElseGet(() -> callHolder(
                        id,
                        holder -> peerRequests.join(
                                holder, nameAtHolder(id), OptionalLong.empty(), timeoutMillis, closed)));
    }

    /** Cancels a submission; empty if the name is unknown. */
    CompletionStage<Optional<Outcome>> cancel(
            long nowNanos, String id, long timeoutMillis, CompletionStage<Void> closed) {
        boolean heldHere = possibleNames(id)
                .anyMatch(name ->
                        admissions.find(nowNanos, name, OptionalLong.empty()).isPresent());
        if (heldHere) {
            CompletionStage<Optional<Outcome>> outcome = find(nowNanos, id, timeoutMillis, closed);
            possibleNames(id).forEach(name -> admissions.cancel(nowNanos, name));
            return outcome;
        }
        return callHolder(id, holder -> peerRequests.cancel(holder, nameAtHolder(id), timeoutMillis));
    }

    // -- other entries

    private interface HolderCall {
        CompletionStage<Optional<Outcome>> send(Incarnation holder);
    }

    private CompletionStage<Optional<Outcome>> callHolder(String id, HolderCall call) {
        return holder(id)
                .thenComposeAsync(
                        holder -> holder.filter(entry -> !entry.equals(self))
                                .map(entry -> call.send(entry).thenApply(reply -> unlessUnknown(reply, entry)))
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

    private static Optional<Outcome> unlessUnknown(Optional<Outcome> reply, Incarnation holder) {
        if (reply.isEmpty()) {
            return Optional.of(Outcomes.holderLost(holder));
        }
        return reply.filter(outcome ->
                !(outcome instanceof Outcome.NotRun notRun && notRun.problem().kind() == ProblemKind.UNKNOWN_JOB));
    }

    // -- names

    private static SubmissionName nameAtHolder(String id) {
        return SubmissionNames.issuer(id).isPresent() ? SubmissionNames.parseIssued(id) : SubmissionName.key(id);
    }

    private static Stream<SubmissionName> possibleNames(String id) {
        return Stream.of(SubmissionName.key(id), SubmissionName.ticket(id), SubmissionName.generated(id));
    }
}
