package org.teaselhook.core.estimate;

import java.util.HashMap;
import java.util.Map;

/**
 * The run time estimates of a service by the kind of task. Its size is bounded by the number of kinds with a rule.
 */
public final class RunTimeEstimates {

    private final Map<String, RunTimeEstimate> estimates = new HashMap<>();

    private RunTimeEstimates() {}

    // -- factories

    /**
     * Returns a collection without estimates.
     *
     * @return the collection
     */
    public static RunTimeEstimates empty() {
        return new RunTimeEstimates();
    }

    // -- accessors

    /**
     * Returns the estimate of a kind, creating it on first use.
     *
     * @param kind the kind's name
     * @param declaredNanos the declared run time, in nanoseconds
     * @return the estimate
     */
    public RunTimeEstimate of(String kind, long declaredNanos) {
        return estimates.computeIfAbsent(kind, name -> RunTimeEstimate.declared(declaredNanos));
    }
}
