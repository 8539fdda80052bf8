package org.teaselhook.core.lease;

import java.util.Objects;

/**
 * How the end or the refusal of an order is known, for the log.
 *
 * @param run the run; if its worker was not called, the run that was requested
 * @param evidence the evidence
 * @param details times and counts that belong to the evidence, as pairs of key and value
 */
public record EndReport(RunId run, EndEvidence evidence, Object... details) {

    /** Checks that run and evidence are given. */
    public EndReport {
        Objects.requireNonNull(run, "run is null");
        Objects.requireNonNull(evidence, "evidence is null");
    }

    /**
     * Returns the report of an order that was refused before any call to the worker.
     *
     * @param request the refused request
     * @return the report
     */
    public static EndReport notCalled(RunRequest request) {
        return new EndReport(request.run(), EndEvidence.NOT_CALLED);
    }
}
