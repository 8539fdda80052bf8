package org.teaselhook.bench.history;

import java.time.Duration;
import java.util.stream.Stream;

import org.teaselhook.bench.history.HistoryEvent.Started;
import org.teaselhook.bench.history.HistoryEvent.TargetJoined;
import org.teaselhook.bench.history.HistoryEvent.TargetLeft;

/** After the limit, no task starts at a target that gave notice of leaving, until the target registers again. */
final class LeavingTargetCheck implements HistoryCheck {

    private final long limitNanos;

    LeavingTargetCheck(Duration limit) {
        this.limitNanos = limit.toNanos();
    }

    @Override
    public Stream<Violation> violations(History history) {
        return history.eventsOf(TargetLeft.class).flatMap(left -> violations(history, left));
    }

    private Stream<Violation> violations(History history, TargetLeft left) {
        long endNanos = history.eventsOf(TargetJoined.class)
                .filter(joined -> joined.target().equals(left.target()) && joined.atNanos() > left.atNanos())
                .mapToLong(TargetJoined::atNanos)
                .min()
                .orElse(Long.MAX_VALUE);
        return history.eventsOf(Started.class)
                .filter(start -> start.target().equals(left.target()))
                .filter(start -> start.atNanos() > left.atNanos() + limitNanos && start.atNanos() < endNanos)
                .map(start -> Violation.of(ViolationKind.STARTED_AT_LEAVING_TARGET, left, start));
    }
}
