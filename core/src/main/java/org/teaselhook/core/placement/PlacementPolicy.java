package org.teaselhook.core.placement;

/**
 * How a worker is chosen for a task.
 */
public enum PlacementPolicy {
    /** A worker that has granted a slot to this entry; the order never finds the worker full. */
    GRANTS,
    /** Any worker at random; the agent rejects the order when it is full. */
    RANDOM,
    /** The less loaded of two workers drawn at random; the agent rejects the order when it is full. */
    LEAST_OF_TWO;

    /**
     * Tells whether orders use granted slots.
     *
     * @return true if an order is sent only on a granted slot
     */
    public boolean usesGrants() {
        return this == GRANTS;
    }
}
