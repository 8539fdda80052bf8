package org.teaselhook.core.health;

/**
 * How much work a worker gets.
 */
public enum HealthState {
    /** All its slots can be used. */
    NORMAL,
    /** A limit on its tasks in progress rises with each success. */
    RAMPING,
    /** It gets no more than probes. */
    EJECTED
}
