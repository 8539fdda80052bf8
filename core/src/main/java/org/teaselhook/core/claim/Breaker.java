package org.teaselhook.core.claim;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * A circuit breaker over the calls to the table service. Open, it refuses claims at once and lets single probes through
 * at growing intervals; half open, one call at a time.
 */
final class Breaker {

    private static final int FAILURES_TO_OPEN = 2;
    private static final int MAX_INTERVAL_FACTOR = 2;
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

    private final long probeIntervalNanos;
    private State state = State.CLOSED;
    private int failures;
    private int intervalFactor = 1;
    private long nextProbeNanos;

    Breaker(long probeIntervalMillis) {
        this.probeIntervalNanos = TimeUnit.MILLISECONDS.toNanos(probeIntervalMillis);
    }

    enum State {
        CLOSED,
        OPEN,
        HALF_OPEN
    }

    State state() {
        return state;
    }

    boolean isOpen() {
        return state == State.OPEN;
    }

    boolean isProbeDue(long nowNanos) {
        return state == State.OPEN && nowNanos - nextProbeNanos >= 0;
    }

    /** Counts a call that ended without result. */
    void failed(long nowNanos) {
        failures++;
        if (state == State.OPEN && !isProbeDue(nowNanos) || state == State.CLOSED && failures < FAILURES_TO_OPEN) {
            return;
        }
        open(nowNanos);
    }

    /** Opens, or puts off the next probe if open already. */
    void open(long nowNanos) {
        intervalFactor = state == State.CLOSED ? 1 : Math.min(intervalFactor * 2, MAX_INTERVAL_FACTOR);
        state = State.OPEN;
        nextProbeNanos = nowNanos + probeIntervalNanos * intervalFactor;
    }

    void readSucceeded() {
        failures = 0;
        if (state == State.OPEN) {
            state = State.HALF_OPEN;
        }
    }

    void writeSucceeded() {
        failures = 0;
        state = State.CLOSED;
    }

    /** Counts a call that took too long; it does not bring an open breaker nearer to closing. */
    void succeededSlowly(long nowNanos) {
        if (state != State.CLOSED) {
            failed(nowNanos);
        }
    }

    Duration retryAfter(long nowNanos) {
        Duration untilProbe = Duration.ofNanos(Math.max(0, nextProbeNanos - nowNanos));
        return untilProbe.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : untilProbe;
    }
}
