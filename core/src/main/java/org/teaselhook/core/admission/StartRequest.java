package org.teaselhook.core.admission;

import java.util.Objects;

import org.teaselhook.core.id.Incarnation;

/**
 * A dispatch that asks an agent to start a task. Times are on the agent's monotonic clock.
 *
 * @param entry the run of the entry that issued the dispatch
 * @param dispatch the dispatch number, unique for this run of the entry; not negative
 * @param agent the run of the agent to which the dispatch is addressed
 * @param echoNanos the newest agent time that the entry had received when it sent the dispatch
 * @param startByNanos the latest instant at which the task may start
 * @param configVersion the version of the configuration on which the entry based the dispatch
 */
public record StartRequest(
        Incarnation entry, long dispatch, Incarnation agent, long echoNanos, long startByNanos, long configVersion) {

    /** Checks that no component is null. */
    public StartRequest {
        Objects.requireNonNull(entry, "entry is null");
        Objects.requireNonNull(agent, "agent is null");
    }
}
