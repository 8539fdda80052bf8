package org.teaselhook.core.claim;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * A circuit breaker for the calls to the table service. While it is open, claims are refused at once and single probes
 * are sent at growing intervals; while it is half open, one shard at a time makes a call.
 */
final class CircuitBreaker {

    private static final int FAILURES_TO_OPEN = 2;
    private static final int MAX_INTERVAL_FACTOR = 2;
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

    private final long probeIntervalNanos;
    private State state = State.CLOSED;
    private int failures;
    private int intervalFactor = 1;
    private long nextProbeNanos;

    CircuitBreaker(long probeIntervalMillis) {
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

    /** Records a call that ended without a result. */
    void recordFailure(long nowNanos) {
        failures++;
        if (state == State.OPEN && !isProbeDue(nowNanos) || state == State.CLOSED && failures < FAILURES_TO_OPEN) {
            return;
        }
        open(nowNanos);
    }

    /** Opens the breaker, or postpones the next probe if it is open already. */
    void open(long nowNanos) {
        intervalFactor = state == State.CLOSED ? 1 : Math.min(intervalFactor * 2, MAX_INTERVAL_FACTOR);
        state = State.OPEN;
        nextProbeNanos = nowNanos + probeIntervalNanos * intervalFactor;
    }

    void recordReadSuccess() {
        failures = 0;
        if (state == State.OPEN) {
            state = State.HALF_OPEN;
        }
    }

    void recordWriteSuccess() {
        failures = 0;
        state = State.CLOSED;
    }

    /** Records a call that succeeded but took too long. While the breaker is not closed, it counts as a failure. */
    void recordSlowSuccess(long nowNanos) {
        if (state != State.CLOSED) {
            recordFailure(nowNanos);
        }
    }

    Duration retryAfter(long nowNanos) {
        Duration untilProbe = Duration.ofNanos(Math.max(0, nextProbeNanos - nowNanos));
        return untilProbe.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : untilProbe;
    }
}
