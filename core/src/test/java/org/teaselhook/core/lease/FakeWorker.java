package org.teaselhook.core.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.LongStream;

/**
 * A worker whose calls are answered by the test, in any order.
 */
final class FakeWorker implements WorkerCalls {

    /** A start call and its answer. */
    record Start(RunId run, long leaseUntil, long token, long sendBy, CompletableFuture<StartResult> answer) {}

    /** A stop call and its answer. */
    record Stop(RunId run, long token, CompletableFuture<StopResult> answer) {}

    /** A poll and its answer. */
    record Poll(
            WorkerReport worker,
            OptionalLong leaseUntil,
            long token,
            long acknowledged,
            long waitMillis,
            CompletableFuture<PollResult> answer) {}

    private final List<Start> starts = new ArrayList<>();
    private final List<Stop> stops = new ArrayList<>();
    private final List<Poll> polls = new ArrayList<>();
    private final Map<Long, WorkerSnapshot.Ended> ended = new LinkedHashMap<>();
    private final List<RunId> running = new ArrayList<>();
    private int percent = 50;
    private long startedAtMillis = 1;
    private long clockMillis = 5_000;

    // -- calls

    @Override
    public CompletionStage<StartResult> start(
            WorkerReport worker, RunId run, String spec, long leaseUntilMillis, long token, long sendBy) {
        Start start = new Start(run, leaseUntilMillis, token, sendBy, new CompletableFuture<>());
        starts.add(start);
        return start.answer();
    }

    @Override
    public CompletionStage<StopResult> stop(WorkerReport worker, RunId run, long token) {
        Stop stop = new Stop(run, token, new CompletableFuture<>());
        stops.add(stop);
        return stop.answer();
    }

    @Override
    public CompletionStage<PollResult> poll(
            WorkerReport worker, OptionalLong leaseUntilMillis, long token, long acknowledged, long waitMillis) {
        Poll poll = new Poll(worker, leaseUntilMillis, token, acknowledged, waitMillis, new CompletableFuture<>());
        polls.add(poll);
        return poll.answer();
    }

    // -- control by the test

    List<Start> starts() {
        return starts;
    }

    List<Stop> stops() {
        return stops;
    }

    List<Poll> polls() {
        return polls;
    }

    Start lastStart() {
        return starts.get(starts.size() - 1);
    }

    Poll lastPoll() {
        return polls.get(polls.size() - 1);
    }

    void accept(Start start) {
        running.add(start.run());
        start.answer().complete(StartResult.STARTED);
    }

    void addRun(RunId run) {
        running.add(run);
    }

    /** Returns the end of the lease that starts and polls have asked for, on this worker's clock; 0 if none has. */
    long leaseUntilMillis() {
        return LongStream.concat(
                        starts.stream().mapToLong(Start::leaseUntil),
                        polls.stream().map(Poll::leaseUntil).flatMapToLong(OptionalLong::stream))
                .max()
                .orElse(0);
    }

    /** Leaves a run out of lists although it has not ended. */
    void unlist(RunId run) {
        running.remove(run);
    }

    boolean isRunning(RunId run) {
        return running.contains(run);
    }

    void end(RunId run, RunOutcome outcome) {
        running.remove(run);
        long number = ended.size() + 1;
        ended.put(number, new WorkerSnapshot.Ended(number, run, outcome));
    }

    void restart(long atMillis) {
        startedAtMillis = atMillis;
        running.clear();
        ended.clear();
    }

    /** Answers the newest poll with the present runs. */
    void answerPoll() {
        answer(lastPoll());
    }

    /** Answers the polls that are in flight with the present runs. */
    void answerPolls() {
        polls.stream().filter(poll -> !poll.answer().isDone()).toList().forEach(this::answer);
    }

    void answer(Poll poll) {
        poll.answer().complete(new PollResult.Answered(snapshot()));
    }

    /** Returns the present runs and the unacknowledged ends. */
    WorkerSnapshot snapshot() {
        long acknowledged = lastPoll().acknowledged();
        List<WorkerSnapshot.Ended> unacknowledged =
                ended.values().stream().filter(e -> e.number() > acknowledged).toList();
        List<WorkerSnapshot.Running> listed = running.stream()
                .map(run -> new WorkerSnapshot.Running(run, percent))
                .toList();
        return new WorkerSnapshot(startedAtMillis, clockMillis, listed, unacknowledged);
    }

    long clockMillis() {
        return clockMillis;
    }

    void advance(long millis) {
        clockMillis += millis;
    }

    void setPercent(int newPercent) {
        percent = newPercent;
    }

    void missPoll() {
        lastPoll().answer().complete(new PollResult.Missed("no answer"));
    }
}
