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
 * The connection to one address of an entry, and the word of the entry on it.
 */
final class RunLink {

    /** A stream without an echo for so long is replaced, in ns: in time for a new one before runs are stopped. */
    private static final long REPLACED_NANOS = TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_TIMEOUT_MILLIS) * 7 / 10;

    /** How long a new stream may take until its first echo, in ns: on a busy VM that starts, some hundred ms. */
    private static final long GREETING_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How long an address is kept that no entry names, in ns: longer than an entry's restart. */
    private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** How long after its last order an entry counts as ordering, in ns: several waves of sub-second tasks. */
    private static final long ORDERING_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(LeaseTimes.ENTRY_TIMEOUT_MILLIS);
    /** The pause before the first dial after a loss, in ns; doubled with each that fails. */
    private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** The longest pause between two dials, in ns: an entry that is back serves only once agents have dialled. */
    private static final long MAX_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final InetSocketAddress address;
    private Optional<FrameConnection<RunReport>> stream = Optional.empty();
    private Optional<Incarnation> entry = Optional.empty();
    private long namedAt;
    private long dialAt;
    private long backoffNanos = MIN_BACKOFF_NANOS;
    private long dialedAt;
    private long echoedAt;
    private long stateDueAt = Long.MAX_VALUE;
    private long stateSentAt;
    private long heartbeatAt;
    private long orderedAt;
    private boolean ordered;
    private Optional<String> lastSpec = Optional.empty();
    private boolean leaving;
    private long routesVersion;

    RunLink(InetSocketAddress address, long nowNanos) {
        this.address = address;
        this.namedAt = nowNanos;
        this.dialAt = nowNanos;
    }

    // -- accessors

    InetSocketAddress address() {
        return address;
    }

    Optional<FrameConnection<RunReport>> stream() {
        return stream;
    }

    /** Returns the entry that greeted on the present stream. */
    Optional<Incarnation> entry() {
        return entry;
    }

    boolean isOn(FrameConnection<RunReport> other) {
        return stream.filter(s -> s == other).isPresent();
    }

    boolean isDialDue(long nowNanos) {
        return stream.isEmpty() && nowNanos - dialAt >= 0;
    }

    /** Whether the stream has carried no echo for too long. */
    boolean isDead(long nowNanos) {
        boolean echoed = echoedAt - dialedAt > 0;
        boolean silent = echoed ? nowNanos - echoedAt > REPLACED_NANOS : nowNanos - dialedAt > GREETING_NANOS;
        return stream.isPresent() && silent;
    }

    /** Whether the address leads nowhere, and no entry has named it for long. */
    boolean isForgotten(long nowNanos) {
        return !isHeard(nowNanos) && nowNanos - namedAt > KEPT_NANOS;
    }

    /** Whether the entry is known to have heard from this agent of late. */
    boolean isHeard(long nowNanos) {
        return nowNanos - echoedAt <= SILENT_NANOS;
    }

    boolean isLeaving() {
        return leaving;
    }

    long routesVersion() {
        return routesVersion;
    }

    /** When the entry is to be told the worker's state, {@link Long#MAX_VALUE} if nothing has changed for it. */
    long stateDueAt() {
        return stateDueAt;
    }

    /** When the state was last sent. */
    long stateSentAt() {
        return stateSentAt;
    }

    /** When the last heartbeat was due. */
    long heartbeatAt() {
        return heartbeatAt;
    }

    /** Whether the entry has sent orders of late, so that what is free here matters to it. */
    boolean isOrdering(long nowNanos) {
        return ordered && nowNanos - orderedAt <= ORDERING_NANOS;
    }

    // -- updates

    void named(long nowNanos) {
        namedAt = nowNanos;
    }

    void dialed(FrameConnection<RunReport> opened, long nowNanos) {
        stream = Optional.of(opened);
        entry = Optional.empty();
        lastSpec = Optional.empty();
        dialedAt = nowNanos;
        stateDueAt = Long.MAX_VALUE;
        ordered = false;
    }

    void greeted(Incarnation incarnation) {
        entry = Optional.of(incarnation);
        routesVersion = 0;
        leaving = false;
    }

    void echoed(long echoNanos, long heldRoutes, boolean leaves) {
        echoedAt = Math.max(echoedAt, echoNanos);
        routesVersion = heldRoutes;
        leaving = leaves;
        backoffNanos = MIN_BACKOFF_NANOS;
    }

    void stateDue(long atNanos) {
        stateDueAt = Math.min(stateDueAt, atNanos);
    }

    void stateSent(long nowNanos) {
        stateDueAt = Long.MAX_VALUE;
        stateSentAt = nowNanos;
    }

    void heartbeat(long nowNanos) {
        heartbeatAt = nowNanos;
    }

    /** Returns the spec of an order: its own, or that of the order before. */
    String specOf(RunOrder order) {
        if (!order.getSameSpec()) {
            lastSpec = Optional.of(order.getSpec());
        }
        return lastSpec.orElseThrow(() -> new IllegalArgumentException(
                "order " + order.getOrder() + " repeats a spec, but is the first on its connection"));
    }

    void ordered(long nowNanos) {
        ordered = true;
        orderedAt = nowNanos;
    }

    void dropped(long nowNanos) {
        stream = Optional.empty();
        entry = Optional.empty();
        dialAt = nowNanos + backoffNanos;
        backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
    }
}
