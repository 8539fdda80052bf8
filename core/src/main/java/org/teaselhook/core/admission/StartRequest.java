package org.teaselhook.core.admission;

import java.util.Objects;

import org.teaselhook.core.id.Incarnation;

/**
 * One dispatch that asks an agent to start a task. Times are on the agent's monotonic clock.
 *
 * @param entry the run of the entry that issued the dispatch
 * @param dispatch the dispatch number, unique for this run of the entry; not negative
 * @param agent the run of the agent that the dispatch is meant for
 * @param echoNanos the newest time of the agent that the entry had received when it sent the dispatch
 * @param startByNanos the latest start
 * @param configVersion the configuration that the entry decided by
 */
public record StartRequest(
        Incarnation entry, long dispatch, Incarnation agent, long echoNanos, long startByNanos, long configVersion) {

    /** Checks that nothing is null. */
    public StartRequest {
        Objects.requireNonNull(entry, "entry is null");
        Objects.requireNonNull(agent, "agent is null");
    }
}
