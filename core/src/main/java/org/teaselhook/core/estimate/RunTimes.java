package org.teaselhook.core.estimate;

import java.util.HashMap;
import java.util.Map;

/**
 * The run time estimates of all kinds of a service. Grows with the kinds that have a rule.
 */
public final class RunTimes {

    private final Map<String, RunTimeEstimate> estimates = new HashMap<>();

    private RunTimes() {}

    // -- factories

    /**
     * Returns a collection that knows no kind yet.
     *
     * @return the collection
     */
    public static RunTimes empty() {
        return new RunTimes();
    }

    // -- accessors

    /**
     * Returns the estimate of a kind, a new one if the kind was not seen before.
     *
     * @param kind the kind's name
     * @param declaredNanos the declared run time, in nanoseconds
     * @return the estimate
     */
    public RunTimeEstimate of(String kind, long declaredNanos) {
        return estimates.computeIfAbsent(kind, name -> RunTimeEstimate.declared(declaredNanos));
    }
}
