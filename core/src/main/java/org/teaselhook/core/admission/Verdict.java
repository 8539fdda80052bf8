package org.teaselhook.core.admission;

import org.teaselhook.core.dispatch.RefusalReason;

/**
 * The decision on a dispatch that arrived.
 */
public sealed interface Verdict permits Verdict.Start, Verdict.Refuse, Verdict.Duplicate {

    /**
     * The task is to be sent to the target now.
     *
     * @param startByNanos the latest instant, on the agent's clock, at which the target may still begin
     */
    record Start(long startByNanos) implements Verdict {}

    /**
     * The task has not started and never will under this number.
     *
     * @param reason the reason
     */
    record Refuse(RefusalReason reason) implements Verdict {}

    /** The number was decided before; nothing is to be done and nothing to be said. */
    record Duplicate() implements Verdict {

        static final Duplicate INSTANCE = new Duplicate();
    }
}
