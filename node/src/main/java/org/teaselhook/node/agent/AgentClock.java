package org.teaselhook.node.agent;

/**
 * The agent's clocks. The monotonic one starts at a fixed positive value, so that zero is never a recent time.
 */
final class AgentClock {

    private static final long FIRST_NANOS = 1L << 42;

    private final long originNanos = System.nanoTime() - FIRST_NANOS;

    long nanos() {
        return System.nanoTime() - originNanos;
    }

    AgentTime read() {
        long wallMillis = System.currentTimeMillis();
        return new AgentTime(wallMillis, nanos());
    }
}
