package org.teaselhook.core.id;

import java.util.random.RandomGenerator;

/**
 * Identifies one execution of a process, from its start to its end. It is drawn at random at start, so that
 * a restarted process has another one.
 *
 * @param value 64 random bits, not zero
 */
public record Incarnation(long value) {

    private static final int HEX_DIGITS = 16;

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if {@code value} is zero
     */
    public Incarnation {
        if (value == 0) {
            throw new IllegalArgumentException("value is zero");
        }
    }

    // -- factories

    /**
     * Returns the incarnation with the given value.
     *
     * @param value 64 random bits, not zero
     * @return the incarnation
     */
    public static Incarnation of(long value) {
        return new Incarnation(value);
    }

    /**
     * Draws a new incarnation.
     *
     * @param random the source of randomness
     * @return a new incarnation
     */
    public static Incarnation random(RandomGenerator random) {
        long value = random.nextLong();
        return value == 0 ? random(random) : new Incarnation(value);
    }

    /**
     * Parses the format that {@link #toString()} writes.
     *
     * @param hex 16 hexadecimal digits
     * @return the incarnation
     * @throws NumberFormatException if {@code hex} is not an unsigned hexadecimal number of at most 64 bits
     * @throws IllegalArgumentException if the number is zero
     */
    public static Incarnation parse(String hex) {
        return new Incarnation(Long.parseUnsignedLong(hex, 16));
    }

    // -- equality: written out, as the methods that records generate are linked anew at each start of a process

    @Override
    public boolean equals(Object other) {
        return other instanceof Incarnation that && value == that.value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }

    // -- conversions

    @Override
    public String toString() {
        String digits = Long.toHexString(value);
        return "0".repeat(HEX_DIGITS - digits.length()) + digits;
    }
}
