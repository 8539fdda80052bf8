package org.teaselhook.core.job;

import java.util.Locale;

import org.teaselhook.core.lease.RunRefusal;

/**
 * How an entry learned that an order has ended.
 */
enum EndSource {
    /** The agent reported the end of the run; its log has the evidence. */
    AGENT_ENDED,
    /** The agent refused the order; its log has the evidence. */
    AGENT_REFUSED,
    /** The agent, connected again, said that the order had never arrived. */
    NEVER_ARRIVED,
    /** There was no contact with the agent for the time after which all its runs have certainly ended. */
    AGENT_SILENT;

    // -- factories

    static EndSource of(RunRefusal refusal) {
        return refusal == RunRefusal.NEVER_ARRIVED ? NEVER_ARRIVED : AGENT_REFUSED;
    }

    // -- accessors

    /** Returns the text for the log, such as {@code agent-silent}. */
    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
