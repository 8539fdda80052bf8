package org.teaselhook.core.admission;

import java.util.Arrays;

/**
 * The dispatch numbers of one run of an entry that were decided, in bounded memory: every number below a mark counts
 * as seen, and a window of bits above the mark tells them apart. Not safe for use by several threads.
 */
final class SeenNumbers {

    static final int WINDOW_NUMBERS = 1 << 16;

    private static final int WORD_BITS = 64;
    private static final int WORDS = WINDOW_NUMBERS / WORD_BITS;

    private final long[] bits = new long[WORDS];
    private long mark;
    private long highest = -1;

    /** Tells whether the number counts as seen; a negative one does. */
    boolean contains(long number) {
        if (number < mark) {
            return true;
        }
        return number - mark < WINDOW_NUMBERS && (bits[word(number)] & bit(number)) != 0;
    }

    /** Adds a number, and returns false if it counted as seen before. */
    boolean add(long number) {
        if (contains(number)) {
            return false;
        }
        if (number - mark >= WINDOW_NUMBERS) {
            advanceTo(number - WINDOW_NUMBERS + 1);
        }
        bits[word(number)] |= bit(number);
        highest = Math.max(highest, number);
        return true;
    }

    /** Returns the highest number added, or -1. */
    long highest() {
        return highest;
    }

    private void advanceTo(long newMark) {
        if (newMark - mark >= WINDOW_NUMBERS) {
            Arrays.fill(bits, 0);
        } else {
            for (long number = mark; number < newMark; number++) {
                bits[word(number)] &= ~bit(number);
            }
        }
        mark = newMark;
    }

    private static int word(long number) {
        return (int) (number / WORD_BITS % WORDS);
    }

    private static long bit(long number) {
        return 1L << (number % WORD_BITS);
    }
}
