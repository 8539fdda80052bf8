package org.teaselhook.node.session;

/**
 * An entry's estimate of an agent's monotonic clock, based on the newest timestamp received from the agent.
 *
 * <p>A converted instant is never later than the true one, because the timestamp was taken before it was received.
 *
 * @param agentNanos the newest timestamp, on the agent's clock
 * @param receivedAt when the timestamp was received, on the entry's clock
 */
record AgentClockEstimate(long agentNanos, long receivedAt) {

    /** Updates the estimate; an older timestamp is ignored, because frames may be delayed. */
    AgentClockEstimate withTimestamp(long timestampNanos, long nowNanos) {
        return timestampNanos - agentNanos > 0 ? new AgentClockEstimate(timestampNanos, nowNanos) : this;
    }

    /** Converts an instant on the entry's clock to the agent's clock. */
    long toAgentTime(long entryNanos) {
        return agentNanos + (entryNanos - receivedAt);
    }
}
