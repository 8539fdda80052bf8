package org.teaselhook.core.amount;

/**
 * Amounts of resources: those that a task uses while it runs, or those of a worker.
 *
 * @param cpuMillis processor time, in thousandths of a core
 * @param memoryMb memory, in MiB
 * @param gpus accelerators
 */
public record ResourceAmounts(int cpuMillis, int memoryMb, int gpus) {

    /** No resources. */
    public static final ResourceAmounts NONE = new ResourceAmounts(0, 0, 0);

    // -- factories

    /**
     * Returns amounts of resources.
     *
     * @param cpuMillis processor time, in thousandths of a core
     * @param memoryMb memory, in MiB
     * @param gpus accelerators
     * @return the amounts
     */
    public static ResourceAmounts of(int cpuMillis, int memoryMb, int gpus) {
        return new ResourceAmounts(cpuMillis, memoryMb, gpus);
    }

    // -- transformations

    /**
     * Returns the sum of these and other amounts.
     *
     * @param other the amounts to add
     * @return the sum
     */
    public ResourceAmounts plus(ResourceAmounts other) {
        return new ResourceAmounts(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, gpus + other.gpus);
    }

    /**
     * Returns the difference of these and other amounts. A component is negative if the other one is larger.
     *
     * @param other the amounts to subtract
     * @return the difference
     */
    public ResourceAmounts minus(ResourceAmounts other) {
        return new ResourceAmounts(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, gpus - other.gpus);
    }

    // -- comparison

    /**
     * Tells whether no component exceeds that of the free amounts.
     *
     * @param free the free amounts
     * @return true if these amounts fit
     */
    public boolean fitsInto(ResourceAmounts free) {
        return cpuMillis <= free.cpuMillis && memoryMb <= free.memoryMb && gpus <= free.gpus;
    }
}
