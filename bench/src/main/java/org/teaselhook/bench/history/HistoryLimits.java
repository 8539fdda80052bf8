package org.teaselhook.bench.history;

import java.time.Duration;

/**
 * The times within which a change must be in force.
 *
 * @param zoneOut from the acceptance of a zone's removal to its last start
 * @param targetLeaving from a target's announcement that it leaves to its last start
 */
public record HistoryLimits(Duration zoneOut, Duration targetLeaving) {

    private static final Duration ZONE_OUT = Duration.ofSeconds(3);
    private static final Duration TARGET_LEAVING = Duration.ofSeconds(3);

    /**
     * Returns the limits that the system promises.
     *
     * @return three seconds each
     */
    public static HistoryLimits standard() {
        return new HistoryLimits(ZONE_OUT, TARGET_LEAVING);
    }
}
