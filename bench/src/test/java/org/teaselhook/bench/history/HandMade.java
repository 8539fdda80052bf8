package org.teaselhook.bench.history;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Builds a history by hand; each step is one second after the one before. */
final class HandMade {

    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final List<HistoryEvent> events = new ArrayList<>();
    private long nowNanos;
    private long calls;

    static HandMade history() {
        return new HandMade();
    }

    History done() {
        return History.of(events);
    }

    // -- callers

    HandMade job(String key, int tasks) {
        return submit(key, true, true, tasks);
    }

    HandMade booking(String key) {
        return submit(key, false, false, 1);
    }

    HandMade check(String key) {
        return submit(key, false, true, 1);
    }

    private HandMade submit(String key, boolean job, boolean idempotent, int tasks) {
        List<String> bodies = bodies(key, tasks);
        return add(new HistoryEvent.Submitted(++calls, key, job, idempotent, bodies, "entry-1", TIMEOUT_NANOS, tick()));
    }

    HandMade complete(long call, String... answers) {
        return answer(call, AnswerKind.COMPLETE, answers);
    }

    HandMade answer(long call, AnswerKind kind, String... answers) {
        return add(new HistoryEvent.Answered(call, kind, List.of(answers), "", tick()));
    }

    // -- targets

    HandMade start(String body) {
        return start(body, "thrissur");
    }

    HandMade start(String body, String zone) {
        return add(new HistoryEvent.Started(body, "a-" + nowNanos, "target-" + zone, "agent-1", zone, tick()));
    }

    HandMade cut(String body) {
        return add(new HistoryEvent.TaskCut(body, "agent-1", tick()));
    }

    HandMade left(String zone) {
        return add(new HistoryEvent.TargetLeft("target-" + zone, tick()));
    }

    HandMade joined(String zone) {
        return add(new HistoryEvent.TargetJoined("target-" + zone, tick()));
    }

    // -- operators

    HandMade out(String zone, long version) {
        return zone(zone, true, OptionalLong.of(version));
    }

    HandMade in(String zone, long version) {
        return zone(zone, false, OptionalLong.of(version));
    }

    HandMade lost(String zone, boolean out) {
        return zone(zone, out, OptionalLong.empty());
    }

    HandMade kept(long version, String operation) {
        return add(new HistoryEvent.ChangeKept(version, operation, tick()));
    }

    private HandMade zone(String zone, boolean out, OptionalLong version) {
        String operation = "op-" + version.orElse(0);
        boolean changed = version.isPresent();
        return add(new HistoryEvent.ZoneChanged(zone, out, tick(), version, changed, operation, tick()));
    }

    // -- processes

    HandMade version(String observer, long version) {
        return add(new HistoryEvent.VersionSeen(observer, version, tick()));
    }

    HandMade stopping(String process) {
        return add(new HistoryEvent.StopBegan(process, tick()));
    }

    HandMade stopped(String process) {
        return add(new HistoryEvent.StopEnded(process, tick()));
    }

    HandMade invariant(String line) {
        return add(new HistoryEvent.InvariantViolated("agent-1", line, tick()));
    }

    HandMade pause(int seconds) {
        nowNanos += TimeUnit.SECONDS.toNanos(seconds);
        return this;
    }

    private HandMade add(HistoryEvent event) {
        events.add(event);
        return this;
    }

    private long tick() {
        nowNanos += TimeUnit.SECONDS.toNanos(1);
        return nowNanos;
    }

    private static List<String> bodies(String key, int tasks) {
        return IntStream.range(0, tasks)
                .boxed()
                .flatMap(i -> Stream.of(key + '/' + i))
                .toList();
    }
}
