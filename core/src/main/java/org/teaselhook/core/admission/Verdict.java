package org.teaselhook.core.admission;

import org.teaselhook.core.dispatch.RefusalReason;

/**
 * The decision on a dispatch that has arrived.
 */
public sealed interface Verdict permits Verdict.Start, Verdict.Refuse, Verdict.Duplicate {

    /**
     * The task must be sent to the target now.
     *
     * @param startByNanos the latest instant, on the agent's clock, at which the target may still start the task
     */
    record Start(long startByNanos) implements Verdict {}

    /**
     * The task was not started and will not be started under this number.
     *
     * @param reason the reason
     */
    record Refuse(RefusalReason reason) implements Verdict {}

    /** The number was decided before; the dispatch is ignored without an answer. */
    record Duplicate() implements Verdict {

        static final Duplicate INSTANCE = new Duplicate();
    }
}
