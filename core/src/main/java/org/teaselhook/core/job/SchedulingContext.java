package org.teaselhook.core.job;

import org.teaselhook.core.route.Routes;

/**
 * The inputs of a scheduling decision other than jobs and workers.
 *
 * @param nowNanos the present time
 * @param routes the routes and zone states set by the operators
 * @param entries the number of entries that share the workers, this one included
 */
record SchedulingContext(long nowNanos, Routes routes, int entries) {

    boolean isOut(String zone) {
        return routes.isOut(zone);
    }
}
