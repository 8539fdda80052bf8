package org.teaselhook.node.agent;

/**
 * The agent's clocks. The monotonic clock starts at a fixed positive value, so that zero is always far in the past.
 */
final class AgentClock {

    private static final long INITIAL_NANOS = 1L << 42;

    private final long originNanos = System.nanoTime() - INITIAL_NANOS;

    long nanos() {
        return System.nanoTime() - originNanos;
    }

    AgentTime read() {
        long wallMillis = System.currentTimeMillis();
        return new AgentTime(wallMillis, nanos());
    }
}
