package org.teaselhook.node.lease;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.frame.FrameConnection;
import org.teaselhook.wire.RunReport;

/**
 * The connections to every entry known. Confined to the control thread.
 */
final class RunLinks {

    private final Map<InetSocketAddress, RunLink> links = new LinkedHashMap<>();
    private final Function<InetSocketAddress, FrameConnection<RunReport>> dialer;
    private final RunReport hello;

    RunLinks(Function<InetSocketAddress, FrameConnection<RunReport>> dialer, RunReport hello) {
        this.dialer = Objects.requireNonNull(dialer, "dialer is null");
        this.hello = Objects.requireNonNull(hello, "hello is null");
    }

    // -- accessors

    List<RunLink> all() {
        return new ArrayList<>(links.values());
    }

    Optional<RunLink> on(FrameConnection<RunReport> stream) {
        return Optional.ofNullable(links.get(stream.remote())).filter(link -> link.isOn(stream));
    }

    /** Returns the link on which an entry greeted. */
    Optional<RunLink> to(Incarnation entry) {
        return links.values().stream()
                .filter(link -> link.entry().filter(entry::equals).isPresent())
                .findFirst();
    }

    /** Returns when some entry is to be told the worker's state. */
    long stateDueAt() {
        long result = Long.MAX_VALUE;
        for (RunLink link : links.values()) {
            result = Math.min(result, link.stateDueAt());
        }
        return result;
    }

    int heard(long nowNanos) {
        return Math.toIntExact(links.values().stream()
                .filter(link -> link.entry().isPresent() && link.isHeard(nowNanos) && !link.isLeaving())
                .count());
    }

    // -- updates

    void know(Collection<InetSocketAddress> addresses, long nowNanos) {
        addresses.forEach(address ->
                links.computeIfAbsent(address, a -> new RunLink(a, nowNanos)).named(nowNanos));
    }

    void tick(long nowNanos) {
        for (RunLink link : all()) {
            if (link.isDead(nowNanos)) {
                drop(link, nowNanos, "no echo");
            }
            if (link.isForgotten(nowNanos)) {
                drop(link, nowNanos, "named by no entry");
                links.remove(link.address());
            } else if (link.isDialDue(nowNanos)) {
                FrameConnection<RunReport> stream = dialer.apply(link.address());
                link.dialed(stream, nowNanos);
                stream.send(hello);
            }
        }
    }

    void dropAll(long nowNanos, String reason) {
        all().forEach(link -> drop(link, nowNanos, reason));
    }

    void ended(FrameConnection<RunReport> stream, String reason, long nowNanos) {
        on(stream).ifPresent(link -> {
            logLost(link, reason);
            link.dropped(nowNanos);
        });
    }

    /** Ends a connection on which an entry sent what makes no sense. */
    void drop(FrameConnection<RunReport> stream, String reason, long nowNanos) {
        on(stream).ifPresent(link -> drop(link, nowNanos, reason));
    }

    private void drop(RunLink link, long nowNanos, String reason) {
        link.stream().ifPresent(stream -> {
            logLost(link, reason);
            link.dropped(nowNanos);
            stream.close(reason);
        });
    }

    private static void logLost(RunLink link, String reason) {
        if (link.entry().isPresent()) {
            LogLine.of("entry-lost")
                    .with("address", link.address())
                    .with("entry", link.entry().get())
                    .with("reason", reason)
                    .warn();
        }
    }
}
