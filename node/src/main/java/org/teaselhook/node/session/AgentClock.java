package org.teaselhook.node.session;

/**
 * What an entry knows of an agent's monotonic clock: the newest stamp that it received, and when.
 *
 * <p>An instant converted to the agent's clock is never later than the true one, since the stamp was made before it
 * arrived.
 *
 * @param agentNanos the newest stamp, on the agent's clock
 * @param receivedAt when it arrived, on the entry's clock
 */
record AgentClock(long agentNanos, long receivedAt) {

    /** Takes a stamp; older ones are ignored, since they may come late. */
    AgentClock with(long stampNanos, long nowNanos) {
        return stampNanos - agentNanos > 0 ? new AgentClock(stampNanos, nowNanos) : this;
    }

    /** Converts an instant of the entry's clock to the agent's. */
    long toAgent(long entryNanos) {
        return agentNanos + (entryNanos - receivedAt);
    }
}
