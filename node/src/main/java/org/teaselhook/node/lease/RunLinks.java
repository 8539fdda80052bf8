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
 * The links to all known entry addresses. Confined to the control thread.
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

    Optional<RunLink> findByStream(FrameConnection<RunReport> stream) {
        return Optional.ofNullable(links.get(stream.remote())).filter(link -> link.hasStream(stream));
    }

    /** Returns the link on which an entry has sent its greeting, empty if none. */
    Optional<RunLink> findByEntry(Incarnation entry) {
        return links.values().stream()
                .filter(link -> link.entry().filter(entry::equals).isPresent())
                .findFirst();
    }

    /** Returns when the next state report is due, {@link Long#MAX_VALUE} if none is. */
    long stateDueAt() {
        long result = Long.MAX_VALUE;
        for (RunLink link : links.values()) {
            result = Math.min(result, link.stateDueAt());
        }
        return result;
    }

    /** Returns the number of connected entries with a recent heartbeat echo that are not leaving. */
    int countLiveEntries(long nowNanos) {
        return Math.toIntExact(links.values().stream()
                .filter(link -> link.entry().isPresent() && link.hasRecentEcho(nowNanos) && !link.isLeaving())
                .count());
    }

    // -- updates

    /** Adds addresses of entries, and renews the time to live of those already known. */
    void addAddresses(Collection<InetSocketAddress> addresses, long nowNanos) {
        addresses.forEach(address ->
                links.computeIfAbsent(address, a -> new RunLink(a, nowNanos)).recordAdvertised(nowNanos));
    }

    void tick(long nowNanos) {
        for (RunLink link : all()) {
            if (link.hasTimedOut(nowNanos)) {
                drop(link, nowNanos, "no heartbeat echo within the timeout");
            }
            if (link.isExpired(nowNanos)) {
                drop(link, nowNanos, "no longer advertised by any entry");
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

    void streamEnded(FrameConnection<RunReport> stream, String reason, long nowNanos) {
        findByStream(stream).ifPresent(link -> {
            logLost(link, reason);
            link.disconnected(nowNanos);
        });
    }

    /** Closes a connection, unless it has been replaced. */
    void drop(FrameConnection<RunReport> stream, String reason, long nowNanos) {
        findByStream(stream).ifPresent(link -> drop(link, nowNanos, reason));
    }

    private void drop(RunLink link, long nowNanos, String reason) {
        link.stream().ifPresent(stream -> {
            logLost(link, reason);
            link.disconnected(nowNanos);
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
