package org.teaselhook.node.agent;

/**
 * One reading of the agent's clocks. The wall clock is read first, so that a pause between the two readings can only
 * make deadlines derived from both earlier.
 *
 * @param wallMillis milliseconds since the epoch
 * @param nanos the agent's monotonic clock
 */
record AgentTime(long wallMillis, long nanos) {

    /** Returns a later instant by the same reading of the wall clock, which is never ahead of a new reading. */
    AgentTime at(long instantNanos) {
        return new AgentTime(wallMillisOf(instantNanos), instantNanos);
    }

    /** Returns the wall-clock time of a monotonic instant, rounded down. */
    long wallMillisOf(long instantNanos) {
        return wallMillis + Math.floorDiv(instantNanos - nanos, 1_000_000L);
    }
}
