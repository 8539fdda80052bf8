package org.teaselhook.bench.failure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The intervals in which processes were down. Thread-safe. */
final class Downtimes {

    private final Map<String, Long> downSince = new HashMap<>();
    private final List<Interval> intervals = new ArrayList<>();

    synchronized void markDown(String process, long nowNanos) {
        downSince.putIfAbsent(process, nowNanos);
    }

    synchronized void markUp(String process, long nowNanos) {
        Long from = downSince.remove(process);
        if (from != null) {
            intervals.add(new Interval(from, nowNanos));
        }
    }

    /** Returns the number of downtimes that overlap an interval; a process may count more than once. */
    synchronized int downBetween(long fromNanos, long toNanos) {
        long ended = intervals.stream()
                .filter(interval -> interval.fromNanos <= toNanos && interval.toNanos >= fromNanos)
                .count();
        long open = downSince.values().stream().filter(from -> from <= toNanos).count();
        return (int) (ended + open);
    }

    private record Interval(long fromNanos, long toNanos) {}
}
