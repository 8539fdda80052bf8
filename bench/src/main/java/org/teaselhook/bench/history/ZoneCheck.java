package org.teaselhook.bench.history;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import org.teaselhook.bench.history.HistoryEvent.Started;
import org.teaselhook.bench.history.HistoryEvent.ZoneChanged;

/** After the limit, no task starts in a zone that was taken out, until an operation may have brought the zone back. */
final class ZoneCheck implements HistoryCheck {

    private final long limitNanos;

    ZoneCheck(Duration limit) {
        this.limitNanos = limit.toNanos();
    }

    @Override
    public Stream<Violation> violations(History history) {
        List<ZoneChanged> changes = history.eventsOf(ZoneChanged.class).toList();
        return changes.stream()
                .filter(change -> change.out() && change.version().isPresent())
                .flatMap(out -> violations(history, out, endNanos(out, changes)));
    }

    private Stream<Violation> violations(History history, ZoneChanged out, long endNanos) {
        return history.eventsOf(Started.class)
                .filter(start -> start.zone().equals(out.zone()))
                .filter(start -> start.atNanos() > out.atNanos() + limitNanos && start.atNanos() < endNanos)
                .map(start -> Violation.of(ViolationKind.STARTED_IN_ZONE_OUT, out, start));
    }

    private static long endNanos(ZoneChanged out, List<ZoneChanged> changes) {
        return changes.stream()
                .filter(change -> !change.out() && change.zone().equals(out.zone()))
                .filter(in -> mayFollow(in, out))
                .mapToLong(ZoneChanged::sentNanos)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** An operation whose answer was lost may take effect at any time after it was sent. */
    private static boolean mayFollow(ZoneChanged in, ZoneChanged out) {
        return in.version().isEmpty()
                || in.version().getAsLong() > out.version().getAsLong();
    }
}
