package org.teaselhook.core.amount;

/**
 * Amounts of resources: those that a task uses while it runs, or those of a worker.
 *
 * @param cpuMillis processor time, in thousandths of a core
 * @param memoryMb memory, in MiB
 * @param gpus accelerators
 */
public record Amounts(int cpuMillis, int memoryMb, int gpus) {

    /** No resources. */
    public static final Amounts NONE = new Amounts(0, 0, 0);

    // -- factories

    /**
     * Returns amounts of resources.
     *
     * @param cpuMillis processor time, in thousandths of a core
     * @param memoryMb memory, in MiB
     * @param gpus accelerators
     * @return the amounts
     */
    public static Amounts of(int cpuMillis, int memoryMb, int gpus) {
        return new Amounts(cpuMillis, memoryMb, gpus);
    }

    // -- transformations

    /**
     * Returns the sum of these and other amounts.
     *
     * @param other the amounts to add
     * @return the sum
     */
    public Amounts plus(Amounts other) {
        return new Amounts(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, gpus + other.gpus);
    }

    /**
     * Returns the difference of these and other amounts. A component is negative if the other one is larger.
     *
     * @param other the amounts to subtract
     * @return the difference
     */
    public Amounts minus(Amounts other) {
        return new Amounts(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, gpus - other.gpus);
    }

    // -- comparison

    /**
     * Tells whether no component exceeds that of the free amounts.
     *
     * @param free the free amounts
     * @return true if these amounts fit
     */
    public boolean fitsInto(Amounts free) {
        return cpuMillis <= free.cpuMillis && memoryMb <= free.memoryMb && gpus <= free.gpus;
    }
}
