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
import org.teaselhook.node.claim.Claims;
import org.teaselhook.node.control.ControlLoop;

/**
 * Decides what becomes of an arriving submission: join what is held, pass it to the entry that holds it, claim it and
 * start, or refuse it. Confined to the control thread.
 *
 * <p>The name comes first and refusals after it, since a refusal says that the work was not done, which may be false
 * of a submission that comes again.
 */
final class Admissions {

    private final Incarnation self;
    private final ControlLoop control;
    private final Dispatcher dispatcher;
    private final SubmissionRegistry registry;
    private final Claims claims;
    private final Tickets tickets;
    private final OtherEntries others;
    private final EarlierWork earlierWork;
    private final UndecidedCopies undecided;
    private final RefusedNames refused;
    private final Supplier<Rules> rules;
    private final Supplier<Optional<Problem>> notReady;
    private long nextId = 1;

    Admissions(
            Incarnation self,
            ControlLoop control,
            Dispatcher dispatcher,
            SubmissionRegistry registry,
            Claims claims,
            Tickets tickets,
            OtherEntries others,
            EarlierWork earlierWork,
            UndecidedCopies undecided,
            RefusedNames refused,
            Supplier<Rules> rules,
            Supplier<Optional<Problem>> notReady) {
        this.self = self;
        this.control = control;
        this.dispatcher = dispatcher;
        this.registry = registry;
        this.claims = claims;
        this.tickets = tickets;
        this.others = others;
        this.earlierWork = earlierWork;
        this.undecided = undecided;
        this.refused = refused;
        this.rules = rules;
        this.notReady = notReady;
    }

    // -- arrivals

    /** Takes a submission; the stage completes with its outcome. */
    CompletionStage<NamedOutcome> admit(long nowNanos, Arrival arrival) {
        SubmissionName name = arrival.request().name().orElseGet(() -> SubmissionNames.generate(self, nextId++));
        return resolve(nowNanos, name, arrival).thenApply(outcome -> new NamedOutcome(name.text(), outcome));
    }

    private CompletionStage<Outcome> resolve(long nowNanos, SubmissionName name, Arrival arrival) {
        Optional<CompletionStage<Outcome>> held = joinHeld(nowNanos, name, arrival);
        if (held.isPresent()) {
            return held.get();
        }
        return switch (name.kind()) {
            case TICKET -> admitTicket(nowNanos, name, arrival);
            case KEY -> admitKey(nowNanos, name, arrival);
            case GENERATED -> startOrRefuse(nowNanos, name, arrival, Hold.NONE);
        };
    }

    private Optional<CompletionStage<Outcome>> joinHeld(long nowNanos, SubmissionName name, Arrival arrival) {
        Optional<CompletionStage<Outcome>> held = registry.join(name, OptionalLong.of(arrival.digest()), nowNanos);
        registry.running(name)
                .filter(running -> running.digest() == arrival.digest())
                .ifPresent(running -> watch(running, arrival));
        return held.map(outcome -> withinTime(outcome, arrival));
    }

    private CompletionStage<Outcome> withinTime(CompletionStage<Outcome> outcome, Arrival arrival) {
        long timeoutNanos = AdmissionCheck.timeoutNanos(rules.get(), arrival.request());
        return outcome.thenApply(o -> o)
                .toCompletableFuture()
                .completeOnTimeout(Outcomes.timedOut(), Math.max(1, timeoutNanos), TimeUnit.NANOSECONDS);
    }

    // -- tickets

    private CompletionStage<Outcome> admitTicket(long nowNanos, SubmissionName name, Arrival arrival) {
        TicketResult result = tickets.admit(name.text(), arrival.digest(), System.currentTimeMillis());
        if (result instanceof TicketResult.Admitted) {
            return startOrRefuse(nowNanos, name, arrival, Hold.TICKET);
        }
        if (result instanceof TicketResult.Foreign foreign) {
            return passOn(nowNanos, name, foreign.issuer(), arrival);
        }
        return done(refusedTicket(result));
    }

    private static Outcome refusedTicket(TicketResult result) {
        if (result instanceof TicketResult.Joined) {
            return Outcomes.answerNotKept();
        }
        if (result instanceof TicketResult.OtherBody) {
            return Outcomes.otherBody();
        }
        if (result instanceof TicketResult.Malformed malformed) {
            return Outcomes.badTicket(malformed.reason());
        }
        if (result instanceof TicketResult.Expired expired) {
            return expired.neverAdmitted() ? Outcomes.badTicket("the ticket has expired") : Outcomes.answerNotKept();
        }
        return Outcome.notRun(Problem.of(ProblemKind.OVERLOADED, "too many tickets are remembered"));
    }

    // -- keys

    private CompletionStage<Outcome> admitKey(long nowNanos, SubmissionName name, Arrival arrival) {
        if (AdmissionCheck.isUnclaimed(rules.get(), arrival.request())) {
            return startOrRefuse(nowNanos, name, arrival, Hold.NONE);
        }
        Optional<Problem> refusal = refusal(arrival);
        if (refusal.isPresent()) {
            return earlierWork.findOrRefuse(name, arrival, refusal.get());
        }
        undecided.add(name);
        Optional<Incarnation> home = arrival.isPassedOn()
                ? Optional.empty()
                : others.home(name.text()).filter(entry -> !entry.equals(self));
        return home.map(entry -> others.forward(nowNanos, entry, name, arrival)
                        .thenComposeAsync(
                                reply -> reply.map(outcome -> decided(name, outcome))
                                        .orElseGet(() -> claim(control.nowNanos(), name, arrival)),
                                control))
                .orElseGet(() -> claim(nowNanos, name, arrival));
    }

    private CompletionStage<Outcome> claim(long nowNanos, SubmissionName name, Arrival arrival) {
        long deadline = nowNanos + AdmissionCheck.timeoutNanos(rules.get(), arrival.request());
        return claims.claim(name.text(), arrival.digest(), deadline, nowNanos)
                .thenComposeAsync(result -> claimed(control.nowNanos(), name, arrival, result), control);
    }

    /** A copy that another entry decided. */
    private CompletionStage<Outcome> decided(SubmissionName name, Outcome outcome) {
        undecided.remove(name);
        return done(outcome);
    }

    private CompletionStage<Outcome> claimed(long nowNanos, SubmissionName name, Arrival arrival, ClaimResult result) {
        if (result instanceof ClaimResult.HeldBy held) {
            return passOn(nowNanos, name, held.holder(), arrival).thenCompose(outcome -> decided(name, outcome));
        }
        undecided.remove(name);
        if (result instanceof ClaimResult.Won) {
            return startOrRefuse(nowNanos, name, arrival, Hold.CLAIM);
        }
        if (result instanceof ClaimResult.Mine) {
            return joinHeld(nowNanos, name, arrival).orElseGet(() -> done(Outcomes.answerNotKept()));
        }
        if (result instanceof ClaimResult.OtherBody) {
            return done(Outcomes.otherBody());
        }
        if (result instanceof ClaimResult.InvalidKey invalid) {
            return done(Outcome.notRun(Problem.of(ProblemKind.BAD_REQUEST, invalid.reason())));
        }
        Problem problem = Outcomes.claimsUnavailable(((ClaimResult.Unavailable) result).retryAfter());
        return earlierWork.findOrRefuse(name, arrival, problem);
    }

    private CompletionStage<Outcome> passOn(long nowNanos, SubmissionName name, Incarnation holder, Arrival arrival) {
        return others.forward(nowNanos, holder, name, arrival)
                .thenApply(reply -> reply.orElseGet(() -> Outcomes.holderLost(holder)));
    }

    // -- starting

    private Optional<Problem> refusal(Arrival arrival) {
        return notReady.get().or(() -> AdmissionCheck.refusal(rules.get(), arrival.request()));
    }

    private CompletionStage<Outcome> startOrRefuse(long nowNanos, SubmissionName name, Arrival arrival, Hold hold) {
        if (arrival.isClosed()) {
            abandon(name, hold);
            return done(Outcomes.callerGone());
        }
        Optional<Problem> refusal = refusal(arrival).or(() -> earlierRefusal(nowNanos, name, arrival, hold));
        if (refusal.isPresent()) {
            logRefused(name, refusal.get());
            giveUp(nowNanos, name, hold, refusal.get());
            return done(Outcome.notRun(refusal.get()));
        }
        return start(nowNanos, name, arrival, hold);
    }

    /** A copy that was received before the caller was told "not run" shares that refusal. */
    private Optional<Problem> earlierRefusal(long nowNanos, SubmissionName name, Arrival arrival, Hold hold) {
        return hold == Hold.NONE ? Optional.empty() : refused.since(name, arrival.receivedNanos(), nowNanos);
    }

    private CompletionStage<Outcome> start(long nowNanos, SubmissionName name, Arrival arrival, Hold hold) {
        String dispatchId = "s" + nextId++;
        RunningSubmission running = registry.add(name, arrival.digest(), dispatchId, hold);
        watch(running, arrival);
        dispatcher.submit(nowNanos, AdmissionCheck.submission(dispatchId, rules.get(), arrival.request(), nowNanos));
        return running.outcome();
    }

    private static void logRefused(SubmissionName name, Problem problem) {
        LogLine.of("submission-refused")
                .with("submission", name.text())
                .with("reason", problem.kind())
                .with("detail", problem.detail())
                .info();
    }

    // -- answers

    /** Takes the dispatcher's outcome of a submission. */
    void answered(long nowNanos, String dispatchId, Outcome outcome) {
        Optional<RunningSubmission> running = registry.finish(dispatchId, outcome, nowNanos);
        running.ifPresent(finished -> {
            if (outcome instanceof Outcome.NotRun notRun && finished.isAwaited()) {
                giveUp(nowNanos, finished.name(), finished.hold(), notRun.problem());
            } else if (outcome instanceof Outcome.NotRun) {
                abandon(finished.name(), finished.hold());
            }
            finished.outcome().complete(outcome);
        });
    }

    /** Gives back what is held, now that the caller is told that nothing ran. */
    private void giveUp(long nowNanos, SubmissionName name, Hold hold, Problem problem) {
        if (hold != Hold.NONE) {
            refused.add(name, problem, nowNanos);
        }
        abandon(name, hold);
    }

    private void abandon(SubmissionName name, Hold hold) {
        switch (hold) {
            case CLAIM -> claims.abandon(name.text());
            case TICKET -> tickets.abandon(name.text());
            default -> {
                // Nothing is held.
            }
        }
    }

    // -- callers that go away

    private void watch(RunningSubmission running, Arrival arrival) {
        running.join();
        arrival.closed().thenRun(() -> control.execute(() -> leave(control.nowNanos(), running)));
    }

    /** Work that can be joined again goes on once some of it may have started. */
    private void leave(long nowNanos, RunningSubmission running) {
        if (!running.leave() || running.outcome().isDone()) {
            return;
        }
        if (running.name().canBeSubmittedAgain()) {
            dispatcher.cancelUnstarted(nowNanos, running.dispatchId());
        } else {
            dispatcher.cancel(nowNanos, running.dispatchId());
        }
    }

    // -- asking and cancelling by name

    /** Joins what is held here under a name; empty if nothing is. */
    Optional<CompletionStage<Outcome>> find(long nowNanos, SubmissionName name, OptionalLong digest) {
        return registry.join(name, digest, nowNanos);
    }

    /** Cancels what runs here under a name. */
    void cancel(long nowNanos, SubmissionName name) {
        registry.running(name).ifPresent(running -> dispatcher.cancel(nowNanos, running.dispatchId()));
    }

    private static CompletionStage<Outcome> done(Outcome outcome) {
        return CompletableFuture.completedFuture(Objects.requireNonNull(outcome, "outcome is null"));
    }
}
