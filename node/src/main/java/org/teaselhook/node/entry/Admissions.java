package org.teaselhook.node.entry;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.teaselhook.core.claim.ClaimResult;
import org.teaselhook.core.claim.TicketResult;
import org.teaselhook.core.claim.Tickets;
import org.teaselhook.core.dispatch.Dispatcher;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.core.rules.Rules;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.caller.SubmissionName;
import org.teaselhook.node.claim.ClaimService;
import org.teaselhook.node.control.ControlLoop;

/**
 * Admission control of incoming submissions: joins a submission that is held here, forwards it to the entry that holds
 * it, claims its key and starts it, or refuses it. Confined to the control thread.
 *
 * <p>The name is resolved before any refusal: a refusal states that the work was not done, which may be false for a
 * resubmission.
 */
final class Admissions {

    private final Incarnation self;
    private final ControlLoop control;
    private final Dispatcher dispatcher;
    private final SubmissionRegistry registry;
    private final ClaimService claims;
    private final Tickets tickets;
    private final PeerRequests peerRequests;
    private final RefusalCheck refusalCheck;
    private final UndecidedCopies undecided;
    private final RefusedNames refused;
    private final Supplier<Rules> rules;
    private final Supplier<Optional<Problem>> readinessProblem;
    private long nextId = 1;

    Admissions(
            Incarnation self,
            ControlLoop control,
            Dispatcher dispatcher,
            SubmissionRegistry registry,
            ClaimService claims,
            Tickets tickets,
            PeerRequests peerRequests,
            RefusalCheck refusalCheck,
            UndecidedCopies undecided,
            RefusedNames refused,
            Supplier<Rules> rules,
            Supplier<Optional<Problem>> readinessProblem) {
        this.self = self;
        this.control = control;
        this.dispatcher = dispatcher;
        this.registry = registry;
        this.claims = claims;
        this.tickets = tickets;
        this.peerRequests = peerRequests;
        this.refusalCheck = refusalCheck;
        this.undecided = undecided;
        this.refused = refused;
        this.rules = rules;
        this.readinessProblem = readinessProblem;
    }

    // -- incoming submissions

    /** Admits or refuses a submission; the stage completes with its outcome. */
    CompletionStage<NamedOutcome> admit(long nowNanos, IncomingSubmission incoming) {
        SubmissionName name = incoming.request().name().orElseGet(() -> SubmissionNames.generate(self, nextId++));
        return resolve(nowNanos, name, incoming).thenApply(outcome -> new NamedOutcome(name.text(), outcome));
    }

    private CompletionStage<Outcome> resolve(long nowNanos, SubmissionName name, IncomingSubmission incoming) {
        Optional<CompletionStage<Outcome>> held = joinExisting(nowNanos, name, incoming);
        if (held.isPresent()) {
            return held.get();
        }
        return switch (name.kind()) {
            case TICKET -> admitTicket(nowNanos, name, incoming);
            case KEY -> admitKey(nowNanos, name, incoming);
            case GENERATED -> startOrRefuse(nowNanos, name, incoming, Reservation.NONE);
        };
    }

    private Optional<CompletionStage<Outcome>> joinExisting(
            long nowNanos, SubmissionName name, IncomingSubmission incoming) {
        Optional<CompletionStage<Outcome>> held = registry.join(name, OptionalLong.of(incoming.digest()), nowNanos);
        registry.running(name)
                .filter(running -> running.digest() == incoming.digest())
                .ifPresent(running -> addWaiter(running, incoming));
        return held.map(outcome -> withTimeout(outcome, incoming));
    }

    private CompletionStage<Outcome> withTimeout(CompletionStage<Outcome> outcome, IncomingSubmission incoming) {
        long timeoutNanos = AdmissionCheck.timeoutNanos(rules.get(), incoming.request());
        return outcome.thenApply(o -> o)
                .toCompletableFuture()
                .completeOnTimeout(Outcomes.timedOut(), Math.max(1, timeoutNanos), TimeUnit.NANOSECONDS);
    }

    // -- tickets

    private CompletionStage<Outcome> admitTicket(long nowNanos, SubmissionName name, IncomingSubmission incoming) {
        TicketResult result = tickets.admit(name.text(), incoming.digest(), System.currentTimeMillis());
        if (result instanceof TicketResult.Admitted) {
            return startOrRefuse(nowNanos, name, incoming, Reservation.TICKET);
        }
        if (result instanceof TicketResult.OtherIssuer foreign) {
            return forward(nowNanos, name, foreign.issuer(), incoming);
        }
        return done(ticketRefusal(result));
    }

    private static Outcome ticketRefusal(TicketResult result) {
        if (result instanceof TicketResult.AlreadyAdmitted) {
            return Outcomes.answerUnavailable();
        }
        if (result instanceof TicketResult.BodyMismatch) {
            return Outcomes.bodyMismatch();
        }
        if (result instanceof TicketResult.Malformed malformed) {
            return Outcomes.badTicket(malformed.reason());
        }
        if (result instanceof TicketResult.Expired expired) {
            return expired.neverAdmitted()
                    ? Outcomes.badTicket("the ticket has expired")
                    : Outcomes.answerUnavailable();
        }
        return Outcome.notRun(Problem.of(ProblemKind.OVERLOADED, "too many tickets are being tracked"));
    }

    // -- keys

    private CompletionStage<Outcome> admitKey(long nowNanos, SubmissionName name, IncomingSubmission incoming) {
        if (AdmissionCheck.needsNoClaim(rules.get(), incoming.request())) {
            return startOrRefuse(nowNanos, name, incoming, Reservation.NONE);
        }
        Optional<Problem> refusal = refusal(incoming);
        if (refusal.isPresent()) {
            return refusalCheck.findOrRefuse(name, incoming, refusal.get());
        }
        undecided.add(name);
        Optional<Incarnation> home = incoming.isForwarded()
                ? Optional.empty()
                : peerRequests.home(name.text()).filter(entry -> !entry.equals(self));
        return home.map(entry -> peerRequests
                        .forward(nowNanos, entry, name, incoming)
                        .thenComposeAsync(
                                reply -> reply.map(outcome -> decidedElsewhere(name, outcome))
                                        .orElseGet(() -> claim(control.nowNanos(), name, incoming)),
                                control))
                .orElseGet(() -> claim(nowNanos, name, incoming));
    }

    private CompletionStage<Outcome> claim(long nowNanos, SubmissionName name, IncomingSubmission incoming) {
        long deadline = nowNanos + AdmissionCheck.timeoutNanos(rules.get(), incoming.request());
        return claims.claim(name.text(), incoming.digest(), deadline, nowNanos)
                .thenComposeAsync(result -> afterClaim(control.nowNanos(), name, incoming, result), control);
    }

    /** Ends the tracking of a copy whose outcome another entry has decided. */
    private CompletionStage<Outcome> decidedElsewhere(SubmissionName name, Outcome outcome) {
        undecided.remove(name);
        return done(outcome);
    }

    private CompletionStage<Outcome> afterClaim(
            long nowNanos, SubmissionName name, IncomingSubmission incoming, ClaimResult result) {
        if (result instanceof ClaimResult.HeldByOther held) {
            return forward(nowNanos, name, held.holder(), incoming)
                    .thenCompose(outcome -> decidedElsewhere(name, outcome));
        }
        undecided.remove(name);
        if (result instanceof ClaimResult.Acquired) {
            return startOrRefuse(nowNanos, name, incoming, Reservation.CLAIM);
        }
        if (result instanceof ClaimResult.AlreadyHeld) {
            return joinExisting(nowNanos, name, incoming).orElseGet(() -> done(Outcomes.answerUnavailable()));
        }
        if (result instanceof ClaimResult.BodyMismatch) {
            return done(Outcomes.bodyMismatch());
        }
        if (result instanceof ClaimResult.InvalidKey invalid) {
            return done(Outcome.notRun(Problem.of(ProblemKind.BAD_REQUEST, invalid.reason())));
        }
        Problem problem = Outcomes.claimsUnavailable(((ClaimResult.Unavailable) result).retryAfter());
        return refusalCheck.findOrRefuse(name, incoming, problem);
    }

    private CompletionStage<Outcome> forward(
            long nowNanos, SubmissionName name, Incarnation holder, IncomingSubmission incoming) {
        return peerRequests
                .forward(nowNanos, holder, name, incoming)
                .thenApply(reply -> reply.orElseGet(() -> Outcomes.holderLost(holder)));
    }

    // -- starting

    private Optional<Problem> refusal(IncomingSubmission incoming) {
        return readinessProblem.get().or(() -> AdmissionCheck.refusal(rules.get(), incoming.request()));
    }

    private CompletionStage<Outcome> startOrRefuse(
            long nowNanos, SubmissionName name, IncomingSubmission incoming, Reservation reservation) {
        if (incoming.isClosed()) {
            release(name, reservation);
            return done(Outcomes.callerDisconnected());
        }
        Optional<Problem> refusal = refusal(incoming).or(() -> earlierRefusal(nowNanos, name, incoming, reservation));
        if (refusal.isPresent()) {
            logRefused(name, refusal.get());
            releaseRefused(nowNanos, name, reservation, refusal.get());
            return done(Outcome.notRun(refusal.get()));
        }
        return start(nowNanos, name, incoming, reservation);
    }

    /** A copy that was received before the caller was answered "not run" shares that refusal. */
    private Optional<Problem> earlierRefusal(
            long nowNanos, SubmissionName name, IncomingSubmission incoming, Reservation reservation) {
        return reservation == Reservation.NONE
                ? Optional.empty()
                : refused.refusalSince(name, incoming.receivedNanos(), nowNanos);
    }

    private CompletionStage<Outcome> start(
            long nowNanos, SubmissionName name, IncomingSubmission incoming, Reservation reservation) {
        String dispatchId = "s" + nextId++;
        RunningSubmission running = registry.add(name, incoming.digest(), dispatchId, reservation);
        addWaiter(running, incoming);
        dispatcher.submit(nowNanos, AdmissionCheck.submission(dispatchId, rules.get(), incoming.request(), nowNanos));
        return running.outcome();
    }

    private static void logRefused(SubmissionName name, Problem problem) {
        LogLine.of("submission-refused")
                .with("submission", name.text())
                .with("reason", problem.kind())
                .with("detail", problem.detail())
                .info();
    }

    // -- outcomes

    /** Completes a submission with the dispatcher's outcome. */
    void submissionAnswered(long nowNanos, String dispatchId, Outcome outcome) {
        Optional<RunningSubmission> running = registry.finish(dispatchId, outcome, nowNanos);
        running.ifPresent(finished -> {
            if (outcome instanceof Outcome.NotRun notRun && finished.hasWaiters()) {
                releaseRefused(nowNanos, finished.name(), finished.reservation(), notRun.problem());
            } else if (outcome instanceof Outcome.NotRun) {
                release(finished.name(), finished.reservation());
            }
            finished.outcome().complete(outcome);
        });
    }

    /** Records the refusal and releases the reservation; the caller is being answered that nothing ran. */
    private void releaseRefused(long nowNanos, SubmissionName name, Reservation reservation, Problem problem) {
        if (reservation != Reservation.NONE) {
            refused.add(name, problem, nowNanos);
        }
        release(name, reservation);
    }

    private void release(SubmissionName name, Reservation reservation) {
        switch (reservation) {
            case CLAIM -> claims.abandon(name.text());
            case TICKET -> tickets.abandon(name.text());
            default -> {
                // There is no reservation.
            }
        }
    }

    // -- waiting callers

    private void addWaiter(RunningSubmission running, IncomingSubmission incoming) {
        running.addWaiter();
        incoming.closed().thenRun(() -> control.execute(() -> removeWaiter(control.nowNanos(), running)));
    }

    /** Cancels a submission without waiters; tasks of a resubmittable one that may have started continue. */
    private void removeWaiter(long nowNanos, RunningSubmission running) {
        if (!running.removeWaiter() || running.outcome().isDone()) {
            return;
        }
        if (running.name().isResubmittable()) {
            dispatcher.cancelUnstarted(nowNanos, running.dispatchId());
        } else {
            dispatcher.cancel(nowNanos, running.dispatchId());
        }
    }

    // -- lookup and cancellation by name

    /** Joins the submission held here under a name; empty if there is none. */
    Optional<CompletionStage<Outcome>> find(long nowNanos, SubmissionName name, OptionalLong digest) {
        return registry.join(name, digest, nowNanos);
    }

    /** Cancels the submission in progress here under a name. */
    void cancel(long nowNanos, SubmissionName name) {
        registry.running(name).ifPresent(running -> dispatcher.cancel(nowNanos, running.dispatchId()));
    }

    private static CompletionStage<Outcome> done(Outcome outcome) {
        return CompletableFuture.completedFuture(Objects.requireNonNull(outcome, "outcome is null"));
    }
}
