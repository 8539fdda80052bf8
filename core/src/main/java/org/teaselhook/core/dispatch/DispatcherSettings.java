package org.teaselhook.core.dispatch;

import java.util.Objects;

import org.teaselhook.core.placement.PlacementPolicy;

/**
 * Settings of a {@link Dispatcher}.
 *
 * @param zone the entry's own availability zone
 * @param policy the placement policy
 * @param firstNumber the first dispatch number, at least 1
 * @param defaultMaxTasks the quota of unfinished tasks of a customer without a rule
 */
public record DispatcherSettings(String zone, PlacementPolicy policy, long firstNumber, int defaultMaxTasks) {

    private static final int DEFAULT_MAX_TASKS = 10_000;

    /** Checks that nothing is null. */
    public DispatcherSettings {
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(policy, "policy is null");
    }

    /**
     * Returns the default settings.
     *
     * @param zone the entry's own availability zone
     * @return the settings
     */
    public static DispatcherSettings of(String zone) {
        return of(zone, PlacementPolicy.GRANTS);
    }

    /**
     * Returns the default settings with the given policy.
     *
     * @param zone the entry's own availability zone
     * @param policy the placement policy
     * @return the settings
     */
    public static DispatcherSettings of(String zone, PlacementPolicy policy) {
        return new DispatcherSettings(zone, policy, 1, DEFAULT_MAX_TASKS);
    }
}
