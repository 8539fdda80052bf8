package org.teaselhook.node.lease;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.lease.LeaseTimes;
import org.teaselhook.node.frame.FrameConnection;
import org.teaselhook.wire.RunOrder;
import org.teaselhook.wire.RunReport;

/**
 * The link to one entry address: its connection, if any, and the state that the entry last advertised on it.
 */
final class RunLink {

    /** Time without a heartbeat echo until a stream is replaced, in ns: a new one can open before runs are stopped. */
    private static final long ECHO_TIMEOUT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_TIMEOUT_MILLIS) * 7 / 10;

    /** Timeout for the first heartbeat echo on a stream, in ns: a busy VM takes some hundred ms during its start. */
    private static final long FIRST_ECHO_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How long an address is kept after an entry last advertised it, in ns: longer than an entry's restart. */
    private static final long ADDRESS_TTL_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** How long an order counts as recent, in ns: the time of several batches of sub-second tasks. */
    private static final long RECENT_ORDER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time without a heartbeat echo after which an entry no longer counts as live, in ns. */
    private static final long ENTRY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_TIMEOUT_MILLIS);

    /** Initial reconnect backoff, in ns; doubles with each failed attempt. */
    private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Maximum reconnect backoff, in ns: a restarted entry serves no jobs before agents have connected. */
    private static final long MAX_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final InetSocketAddress address;
    private Optional<FrameConnection<RunReport>> stream = Optional.empty();
    private Optional<Incarnation> entry = Optional.empty();
    private long lastAdvertisedAt;
    private long nextDialAt;
    private long backoffNanos = MIN_BACKOFF_NANOS;
    private long dialedAt;
    private long lastEchoAt;
    private long stateDueAt = Long.MAX_VALUE;
    private long lastStateAt;
    private long lastHeartbeatAt;
    private long lastOrderAt;
    private boolean hasOrdered;
    private Optional<String> lastSpec = Optional.empty();
    private boolean leaving;
    private long routesVersion;

    RunLink(InetSocketAddress address, long nowNanos) {
        this.address = address;
        this.lastAdvertisedAt = nowNanos;
        this.nextDialAt = nowNanos;
    }

    // -- accessors

    InetSocketAddress address() {
        return address;
    }

    Optional<FrameConnection<RunReport>> stream() {
        return stream;
    }

    /** Returns the entry that sent a greeting on the current stream, empty if none has. */
    Optional<Incarnation> entry() {
        return entry;
    }

    boolean hasStream(FrameConnection<RunReport> other) {
        return stream.filter(s -> s == other).isPresent();
    }

    boolean isDialDue(long nowNanos) {
        return stream.isEmpty() && nowNanos - nextDialAt >= 0;
    }

    /** Whether the stream has carried no heartbeat echo within its timeout. */
    boolean hasTimedOut(long nowNanos) {
        boolean hasEcho = lastEchoAt - dialedAt > 0;
        boolean overdue =
                hasEcho ? nowNanos - lastEchoAt > ECHO_TIMEOUT_NANOS : nowNanos - dialedAt > FIRST_ECHO_TIMEOUT_NANOS;
        return stream.isPresent() && overdue;
    }

    /** Whether the address has no live entry and has not been advertised within its time to live. */
    boolean isExpired(long nowNanos) {
        return !hasRecentEcho(nowNanos) && nowNanos - lastAdvertisedAt > ADDRESS_TTL_NANOS;
    }

    /** Whether a heartbeat echo proves that the entry has recently received a heartbeat of this agent. */
    boolean hasRecentEcho(long nowNanos) {
        return nowNanos - lastEchoAt <= ENTRY_TIMEOUT_NANOS;
    }

    boolean isLeaving() {
        return leaving;
    }

    long routesVersion() {
        return routesVersion;
    }

    /** When the next state report is due, {@link Long#MAX_VALUE} if nothing has changed for the entry. */
    long stateDueAt() {
        return stateDueAt;
    }

    /** When the last state report was sent. */
    long lastStateAt() {
        return lastStateAt;
    }

    /** When the last heartbeat was due. */
    long lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    /** Whether the entry has recently sent an order, so that it needs to know the free capacity of the worker. */
    boolean hasRecentOrder(long nowNanos) {
        return hasOrdered && nowNanos - lastOrderAt <= RECENT_ORDER_NANOS;
    }

    // -- updates

    void recordAdvertised(long nowNanos) {
        lastAdvertisedAt = nowNanos;
    }

    void dialed(FrameConnection<RunReport> opened, long nowNanos) {
        stream = Optional.of(opened);
        entry = Optional.empty();
        lastSpec = Optional.empty();
        dialedAt = nowNanos;
        stateDueAt = Long.MAX_VALUE;
        hasOrdered = false;
    }

    void recordGreeting(Incarnation incarnation) {
        entry = Optional.of(incarnation);
        routesVersion = 0;
        leaving = false;
    }

    void recordEcho(long echoNanos, long heldVersion, boolean entryLeaving) {
        lastEchoAt = Math.max(lastEchoAt, echoNanos);
        routesVersion = heldVersion;
        leaving = entryLeaving;
        backoffNanos = MIN_BACKOFF_NANOS;
    }

    void scheduleState(long atNanos) {
        stateDueAt = Math.min(stateDueAt, atNanos);
    }

    void recordStateSent(long nowNanos) {
        stateDueAt = Long.MAX_VALUE;
        lastStateAt = nowNanos;
    }

    void recordHeartbeat(long nowNanos) {
        lastHeartbeatAt = nowNanos;
    }

    /** Returns the spec of an order: its own, or that of the previous order if it refers to that. */
    String specOf(RunOrder order) {
        if (!order.getSameSpec()) {
            lastSpec = Optional.of(order.getSpec());
        }
        return lastSpec.orElseThrow(() -> new IllegalArgumentException(
                "order " + order.getOrder() + " refers to the previous spec, but is the first on its connection"));
    }

    void recordOrder(long nowNanos) {
        hasOrdered = true;
        lastOrderAt = nowNanos;
    }

    void disconnected(long nowNanos) {
        stream = Optional.empty();
        entry = Optional.empty();
        nextDialAt = nowNanos + backoffNanos;
        backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
    }
}
