package org.teaselhook.node.agent;

/**
 * A reading of both of the agent's clocks. The wall clock is read first, so that a pause between the two readings can
 * only move deadlines that are derived from both earlier.
 *
 * @param wallMillis milliseconds since the epoch
 * @param nanos the time on the agent's monotonic clock
 */
record AgentTime(long wallMillis, long nanos) {

    /** Returns the reading advanced to a later monotonic time; its wall-clock time is never ahead of a new reading. */
    AgentTime at(long instantNanos) {
        return new AgentTime(wallMillisOf(instantNanos), instantNanos);
    }

    /** Returns the wall-clock time of a monotonic time, rounded down. */
    long wallMillisOf(long instantNanos) {
        return wallMillis + Math.floorDiv(instantNanos - nanos, 1_000_000L);
    }
}
