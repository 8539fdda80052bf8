package org.teaselhook.core.admission;

import org.teaselhook.core.dispatch.RefusalReason;

/**
 * The decision on a dispatch that has arrived.
 */
public sealed interface AdmissionDecision
        permits AdmissionDecision.Start, AdmissionDecision.Refuse, AdmissionDecision.Duplicate {

    /**
     * The task must be sent to the target now.
     *
     * @param startByNanos the latest instant, on the agent's clock, at which the target may still start the task
     */
    record Start(long startByNanos) implements AdmissionDecision {}

    /**
     * The task was not started and will not be started under this number.
     *
     * @param reason the reason
     */
    record Refuse(RefusalReason reason) implements AdmissionDecision {}

    /** The number was decided before; the dispatch is ignored without an answer. */
    record Duplicate() implements AdmissionDecision {

        static final Duplicate INSTANCE = new Duplicate();
    }
}
