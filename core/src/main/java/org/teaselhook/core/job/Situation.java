package org.teaselhook.core.job;

import org.teaselhook.core.route.Routes;

/**
 * What a decision rests on besides the jobs and the workers.
 *
 * @param nowNanos the present time
 * @param routes the operators' decisions
 * @param entries the entries that share the workers, this one included
 */
record Situation(long nowNanos, Routes routes, int entries) {

    boolean isOut(String zone) {
        return routes.isOut(zone);
    }
}
