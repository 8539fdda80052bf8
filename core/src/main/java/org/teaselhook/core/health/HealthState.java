package org.teaselhook.core.health;

/**
 * The health of a worker, which determines how much work it receives.
 */
public enum HealthState {
    /** All slots of the worker may be used. */
    NORMAL,
    /** The number of tasks in progress is limited; the limit rises with each success. */
    RAMPING,
    /** The worker receives only probes. */
    EJECTED
}
