package org.teaselhook.node.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.claim.AnswerCache;
import org.teaselhook.core.outcome.Answer;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.caller.SubmissionName;

/**
 * The submissions of this entry: those in progress, and the cached outcomes of finished ones for resubmissions.
 * Confined to the control thread.
 */
final class SubmissionRegistry {

    private static final long PROBLEM_BYTES = 256;
    private static final long MAX_UNFINISHED_BYTES = 1 << 20;

    private final AnswerCache<CachedOutcome> outcomes;
    private final Map<SubmissionName, RunningSubmission> byName = new HashMap<>();
    private final Map<String, RunningSubmission> byDispatchId = new HashMap<>();

    private final AnswerCache<UnfinishedSubmission> unfinished;

    private record CachedOutcome(long digest, Outcome outcome) {}

    /** A submission that was answered "may have run" and whose missing results may still arrive. */
    private record UnfinishedSubmission(SubmissionName name, long digest) {}

    SubmissionRegistry(long cacheBytes, long retentionNanos) {
        this.outcomes = AnswerCache.of(cacheBytes, retentionNanos);
        this.unfinished = AnswerCache.of(MAX_UNFINISHED_BYTES, retentionNanos);
    }

    // -- submissions in progress

    RunningSubmission add(SubmissionName name, long digest, String dispatchId, Reservation reservation) {
        RunningSubmission running = new RunningSubmission(name, digest, dispatchId, reservation);
        byName.put(name, running);
        byDispatchId.put(dispatchId, running);
        return running;
    }

    Optional<RunningSubmission> running(SubmissionName name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns the name that is sent to the target, or the dispatch id if the submission is no longer in progress. */
    String nameOf(String dispatchId) {
        RunningSubmission running = byDispatchId.get(dispatchId);
        return running == null ? dispatchId : running.name().text();
    }

    /** Removes and returns a submission; caches its outcome unless it did not run. */
    Optional<RunningSubmission> finish(String dispatchId, Outcome outcome, long nowNanos) {
        RunningSubmission running = byDispatchId.remove(dispatchId);
        if (running == null) {
            return Optional.empty();
        }
        byName.remove(running.name());
        if (!(outcome instanceof Outcome.NotRun)) {
            cacheOutcome(running.name(), running.digest(), outcome, nowNanos);
        }
        if (outcome instanceof Outcome.MayHaveRun) {
            UnfinishedSubmission submission = new UnfinishedSubmission(running.name(), running.digest());
            unfinished.put(dispatchId, submission, running.name().text().length(), nowNanos);
        }
        return Optional.of(running);
    }

    /** Replaces a cached "may have run" by the complete outcome, unless the name is in progress again. */
    void cacheLateOutcome(String dispatchId, Outcome outcome, long nowNanos) {
        unfinished
                .find(dispatchId, nowNanos)
                .filter(submission -> !byName.containsKey(submission.name()))
                .ifPresent(submission -> {
                    cacheOutcome(submission.name(), submission.digest(), outcome, nowNanos);
                    LogLine.of("completed-late")
                            .with("submission", submission.name().text())
                            .info();
                });
    }

    private void cacheOutcome(SubmissionName name, long digest, Outcome outcome, long nowNanos) {
        outcomes.put(key(name), new CachedOutcome(digest, outcome), bytes(outcome), nowNanos);
    }

    // -- resubmissions

    /** Joins a submission in progress or returns its cached outcome; empty if there is neither. */
    Optional<CompletionStage<Outcome>> join(SubmissionName name, OptionalLong digest, long nowNanos) {
        RunningSubmission running = byName.get(name);
        if (running != null) {
            return Optional.of(sameBody(running.digest(), digest) ? running.outcome() : bodyMismatch());
        }
        return outcomes.find(key(name), nowNanos)
                .map(found -> sameBody(found.digest(), digest)
                        ? CompletableFuture.completedFuture(found.outcome())
                        : bodyMismatch());
    }

    private static boolean sameBody(long expected, OptionalLong digest) {
        return digest.isEmpty() || digest.getAsLong() == expected;
    }

    private static CompletableFuture<Outcome> bodyMismatch() {
        return CompletableFuture.completedFuture(Outcomes.bodyMismatch());
    }

    // -- helpers

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
        return Problem.of(ProblemKind.UNKNOWN_JOB, "this entry knows no submission under the name " + name.text());
    }
}
