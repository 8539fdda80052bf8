package org.teaselhook.core.admission;

import java.util.Arrays;

/**
 * A sliding replay window over the dispatch numbers of one run of an entry that were decided, in bounded memory: every
 * number below the window counts as seen, and a bit set records the numbers inside the window. Not thread-safe.
 */
final class ReplayWindow {

    static final int WINDOW_SIZE = 1 << 16;

    private static final int WORD_BITS = 64;
    private static final int WORDS = WINDOW_SIZE / WORD_BITS;

    private final long[] bits = new long[WORDS];
    private long windowStart;
    private long highest = -1;

    /** Tells whether a number counts as seen; negative numbers do. */
    boolean contains(long number) {
        if (number < windowStart) {
            return true;
        }
        return number - windowStart < WINDOW_SIZE && (bits[wordIndex(number)] & bitMask(number)) != 0;
    }

    /** Adds a number; returns false if it already counted as seen. */
    boolean add(long number) {
        if (contains(number)) {
            return false;
        }
        if (number - windowStart >= WINDOW_SIZE) {
            advanceTo(number - WINDOW_SIZE + 1);
        }
        bits[wordIndex(number)] |= bitMask(number);
        highest = Math.max(highest, number);
        return true;
    }

    /** Returns the highest number added, or -1 if there is none. */
    long highest() {
        return highest;
    }

    private void advanceTo(long newStart) {
        if (newStart - windowStart >= WINDOW_SIZE) {
            Arrays.fill(bits, 0);
        } else {
            for (long number = windowStart; number < newStart; number++) {
                bits[wordIndex(number)] &= ~bitMask(number);
            }
        }
        windowStart = newStart;
    }

    private static int wordIndex(long number) {
        return (int) (number / WORD_BITS % WORDS);
    }

    private static long bitMask(long number) {
        return 1L << (number % WORD_BITS);
    }
}
