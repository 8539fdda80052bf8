package org.teaselhook.bench.failure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** When which processes were down. Thread-safe. */
final class Downtimes {

    private final Map<String, Long> since = new HashMap<>();
    private final List<Interval> intervals = new ArrayList<>();

    synchronized void down(String process, long nowNanos) {
        since.putIfAbsent(process, nowNanos);
    }

    synchronized void up(String process, long nowNanos) {
        Long from = since.remove(process);
        if (from != null) {
            intervals.add(new Interval(from, nowNanos));
        }
    }

    /** Returns the number of processes that were down at some time between two times. */
    synchronized int downBetween(long fromNanos, long toNanos) {
        long ended = intervals.stream()
                .filter(interval -> interval.fromNanos <= toNanos && interval.toNanos >= fromNanos)
                .count();
        long open = since.values().stream().filter(from -> from <= toNanos).count();
        return (int) (ended + open);
    }

    private record Interval(long fromNanos, long toNanos) {}
}
