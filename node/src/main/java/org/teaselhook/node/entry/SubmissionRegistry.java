package org.teaselhook.node.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.claim.KeptAnswers;
import org.teaselhook.core.outcome.Answer;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.caller.SubmissionName;

/**
 * The submissions that this entry holds: running ones, and answers kept for those who ask again. Confined to the
 * control thread.
 */
final class SubmissionRegistry {

    private static final long PROBLEM_BYTES = 256;
    private static final long MAX_UNFINISHED_BYTES = 1 << 20;

    private final KeptAnswers<KeptOutcome> kept;
    private final Map<SubmissionName, RunningSubmission> byName = new HashMap<>();
    private final Map<String, RunningSubmission> byDispatchId = new HashMap<>();

    private final KeptAnswers<Unfinished> unfinished;

    private record KeptOutcome(long digest, Outcome outcome) {}

    /** A submission that was answered as possibly run, whose missing results may still come. */
    private record Unfinished(SubmissionName name, long digest) {}

    SubmissionRegistry(long keptBytes, long keptNanos) {
        this.kept = KeptAnswers.of(keptBytes, keptNanos);
        this.unfinished = KeptAnswers.of(MAX_UNFINISHED_BYTES, keptNanos);
    }

    // -- running submissions

    RunningSubmission add(SubmissionName name, long digest, String dispatchId, Hold hold) {
        RunningSubmission running = new RunningSubmission(name, digest, dispatchId, hold);
        byName.put(name, running);
        byDispatchId.put(dispatchId, running);
        return running;
    }

    Optional<RunningSubmission> running(SubmissionName name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns the name that the target is told. */
    String nameOf(String dispatchId) {
        RunningSubmission running = byDispatchId.get(dispatchId);
        return running == null ? dispatchId : running.name().text();
    }

    /** Removes a submission and keeps its outcome, unless it did not run; returns it. */
    Optional<RunningSubmission> finish(String dispatchId, Outcome outcome, long nowNanos) {
        RunningSubmission running = byDispatchId.remove(dispatchId);
        if (running == null) {
            return Optional.empty();
        }
        byName.remove(running.name());
        if (!(outcome instanceof Outcome.NotRun)) {
            keep(running.name(), running.digest(), outcome, nowNanos);
        }
        if (outcome instanceof Outcome.MayHaveRun) {
            Unfinished given = new Unfinished(running.name(), running.digest());
            unfinished.put(dispatchId, given, running.name().text().length(), nowNanos);
        }
        return Optional.of(running);
    }

    /** Keeps a complete outcome that came after "may have run" in its place, unless the name was submitted anew. */
    void completedLate(String dispatchId, Outcome outcome, long nowNanos) {
        unfinished
                .find(dispatchId, nowNanos)
                .filter(given -> !byName.containsKey(given.name()))
                .ifPresent(given -> {
                    keep(given.name(), given.digest(), outcome, nowNanos);
                    LogLine.of("completed-late")
                            .with("submission", given.name().text())
                            .info();
                });
    }

    private void keep(SubmissionName name, long digest, Outcome outcome, long nowNanos) {
        kept.put(key(name), new KeptOutcome(digest, outcome), bytes(outcome), nowNanos);
    }

    // -- joining

    /** Joins a running submission or returns its kept answer; empty if neither is held here. */
    Optional<CompletionStage<Outcome>> join(SubmissionName name, OptionalLong digest, long nowNanos) {
        RunningSubmission running = byName.get(name);
        if (running != null) {
            return Optional.of(sameBody(running.digest(), digest) ? running.outcome() : otherBody());
        }
        return kept.find(key(name), nowNanos)
                .map(found -> sameBody(found.digest(), digest)
                        ? CompletableFuture.completedFuture(found.outcome())
                        : otherBody());
    }

    private static boolean sameBody(long held, OptionalLong given) {
        return given.isEmpty() || given.getAsLong() == held;
    }

    private static CompletableFuture<Outcome> otherBody() {
        return CompletableFuture.completedFuture(Outcomes.otherBody());
    }

    // -- sizes

    int size() {
        return byName.size();
    }

    private static String key(SubmissionName name) {
        return name.kind() + ":" + name.text();
    }

    private static long bytes(Outcome outcome) {
        return outcome.fold(
                complete -> complete.answers().stream().mapToLong(Answer::size).sum(),
                notRun -> PROBLEM_BYTES,
                mayHaveRun -> PROBLEM_BYTES);
    }

    static Problem unknownJob(SubmissionName name) {
        return Problem.of(ProblemKind.UNKNOWN_JOB, "nothing is known here under " + name.text());
    }
}
