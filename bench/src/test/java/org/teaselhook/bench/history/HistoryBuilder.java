package org.teaselhook.bench.history;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Builds a history; each event is one second later than the previous one. */
final class HistoryBuilder {

    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final List<HistoryEvent> events = new ArrayList<>();
    private long nowNanos;
    private long calls;

    static HistoryBuilder history() {
        return new HistoryBuilder();
    }

    History build() {
        return History.of(events);
    }

    // -- callers

    HistoryBuilder job(String key, int tasks) {
        return submit(key, true, true, tasks);
    }

    HistoryBuilder booking(String key) {
        return submit(key, false, false, 1);
    }

    HistoryBuilder check(String key) {
        return submit(key, false, true, 1);
    }

    private HistoryBuilder submit(String key, boolean job, boolean idempotent, int tasks) {
        List<String> bodies = bodies(key, tasks);
        return add(
                new HistoryEvent.Submitted(++calls, key, job, idempotent, bodies, "entry-1", TIMEOUT_NANOS, advance()));
    }

    HistoryBuilder complete(long call, String... answers) {
        return answer(call, AnswerKind.COMPLETE, answers);
    }

    HistoryBuilder answer(long call, AnswerKind kind, String... answers) {
        return add(new HistoryEvent.Answered(call, kind, List.of(answers), "", advance()));
    }

    // -- targets

    HistoryBuilder start(String body) {
        return start(body, "thrissur");
    }

    HistoryBuilder start(String body, String zone) {
        return add(new HistoryEvent.Started(body, "a-" + nowNanos, "target-" + zone, "agent-1", zone, advance()));
    }

    HistoryBuilder interrupted(String body) {
        return add(new HistoryEvent.TaskCut(body, "agent-1", advance()));
    }

    HistoryBuilder left(String zone) {
        return add(new HistoryEvent.TargetLeft("target-" + zone, advance()));
    }

    HistoryBuilder joined(String zone) {
        return add(new HistoryEvent.TargetJoined("target-" + zone, advance()));
    }

    // -- operators

    HistoryBuilder out(String zone, long version) {
        return zone(zone, true, OptionalLong.of(version));
    }

    HistoryBuilder in(String zone, long version) {
        return zone(zone, false, OptionalLong.of(version));
    }

    HistoryBuilder unanswered(String zone, boolean out) {
        return zone(zone, out, OptionalLong.empty());
    }

    HistoryBuilder kept(long version, String operation) {
        return add(new HistoryEvent.ChangeKept(version, operation, advance()));
    }

    private HistoryBuilder zone(String zone, boolean out, OptionalLong version) {
        String operation = "op-" + version.orElse(0);
        boolean changed = version.isPresent();
        return add(new HistoryEvent.ZoneChanged(zone, out, advance(), version, changed, operation, advance()));
    }

    // -- processes

    HistoryBuilder version(String observer, long version) {
        return add(new HistoryEvent.VersionSeen(observer, version, advance()));
    }

    HistoryBuilder stopping(String process) {
        return add(new HistoryEvent.StopBegan(process, advance()));
    }

    HistoryBuilder stopped(String process) {
        return add(new HistoryEvent.StopEnded(process, advance()));
    }

    HistoryBuilder invariant(String line) {
        return add(new HistoryEvent.InvariantViolated("agent-1", line, advance()));
    }

    HistoryBuilder pause(int seconds) {
        nowNanos += TimeUnit.SECONDS.toNanos(seconds);
        return this;
    }

    private HistoryBuilder add(HistoryEvent event) {
        events.add(event);
        return this;
    }

    private long advance() {
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
