package org.teaselhook.core.queue;

/**
 * Sums of work by the time slice in which it is due, over a sliding window of about 69 s; work that is due later counts
 * in the last slice. Adding and subtracting take O(1), a sum at most 64 steps; the size is fixed at about 8 KiB.
 */
final class WorkByTime {

    private static final int SLICE_SHIFT = 26;
    private static final int SLICES = 1024;
    private static final int SLICES_PER_BLOCK = 32;

    private final long[] slices = new long[SLICES];
    private final long[] blocks = new long[SLICES / SLICES_PER_BLOCK];
    private long total;

    long total() {
        return total;
    }

    /** Adds work that is due at the given time. Returns its slice, which {@link #subtract} needs. */
    int add(long nowNanos, long dueNanos, long work) {
        int slice = sliceOf(nowNanos, dueNanos);
        change(slice, work);
        return slice;
    }

    void subtract(int slice, long work) {
        change(slice, -work);
    }

    /** Sums the work due no later than the slice of the given time. */
    long upTo(long nowNanos, long dueNanos) {
        int first = ringIndex(nowNanos >> SLICE_SHIFT);
        int last = sliceOf(nowNanos, dueNanos);
        return first <= last ? sum(first, last) : total - sum(last + 1, first - 1);
    }

    private void change(int slice, long work) {
        slices[slice] += work;
        blocks[slice / SLICES_PER_BLOCK] += work;
        total += work;
    }

    private static int sliceOf(long nowNanos, long dueNanos) {
        long first = nowNanos >> SLICE_SHIFT;
        long due = dueNanos >> SLICE_SHIFT;
        return ringIndex(Math.max(first, Math.min(due, first + SLICES - 1)));
    }

    private static int ringIndex(long slice) {
        return (int) (slice & (SLICES - 1));
    }

    private long sum(int first, int last) {
        long sum = 0;
        int index = first;
        while (index <= last) {
            boolean wholeBlock = index % SLICES_PER_BLOCK == 0 && index + SLICES_PER_BLOCK - 1 <= last;
            sum += wholeBlock ? blocks[index / SLICES_PER_BLOCK] : slices[index];
            index += wholeBlock ? SLICES_PER_BLOCK : 1;
        }
        return sum;
    }
}
