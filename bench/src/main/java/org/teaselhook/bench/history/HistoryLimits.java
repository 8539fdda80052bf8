package org.teaselhook.bench.history;

import java.time.Duration;

/**
 * The times within which changes must take effect.
 *
 * @param zoneOut the longest time from the acceptance of a zone's removal to the last start of a task in the zone
 * @param targetLeaving the longest time from a target's notice of leaving to the last start of a task at it
 */
public record HistoryLimits(Duration zoneOut, Duration targetLeaving) {

    private static final Duration ZONE_OUT = Duration.ofSeconds(3);
    private static final Duration TARGET_LEAVING = Duration.ofSeconds(3);

    /**
     * Returns the limits that the system guarantees.
     *
     * @return three seconds each
     */
    public static HistoryLimits standard() {
        return new HistoryLimits(ZONE_OUT, TARGET_LEAVING);
    }
}
