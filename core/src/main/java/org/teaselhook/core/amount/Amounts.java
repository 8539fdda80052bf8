package org.teaselhook.core.amount;

/**
 * What a task uses while it runs, or what a worker has.
 *
 * @param cpuMillis processor time, in thousandths of a core
 * @param memoryMb memory, in MiB
 * @param gpus accelerators
 */
public record Amounts(int cpuMillis, int memoryMb, int gpus) {

    /** Nothing at all. */
    public static final Amounts NONE = new Amounts(0, 0, 0);

    // -- factories

    /**
     * Returns amounts.
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
     * Adds.
     *
     * @param other what is added
     * @return the sum
     */
    public Amounts plus(Amounts other) {
        return new Amounts(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, gpus + other.gpus);
    }

    /**
     * Subtracts. A part of the result is negative where more is taken than there is.
     *
     * @param other what is taken away
     * @return the difference
     */
    public Amounts minus(Amounts other) {
        return new Amounts(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, gpus - other.gpus);
    }

    // -- comparison

    /**
     * Tells whether every part is covered by the other's.
     *
     * @param room what is free
     * @return true if these amounts fit into it
     */
    public boolean fitsInto(Amounts room) {
        return cpuMillis <= room.cpuMillis && memoryMb <= room.memoryMb && gpus <= room.gpus;
    }
}
