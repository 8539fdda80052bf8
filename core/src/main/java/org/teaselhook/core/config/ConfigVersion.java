package org.teaselhook.core.config;

/**
 * The version number of an accepted rules file: 1 for the first, incremented with each further one.
 *
 * @param value the number; 0 for no accepted file
 */
public record ConfigVersion(long value) implements Comparable<ConfigVersion> {

    /** The version before any rules file was accepted. */
    public static final ConfigVersion NONE = new ConfigVersion(0);

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if {@code value} is negative
     */
    public ConfigVersion {
        if (value < 0) {
            throw new IllegalArgumentException("version is negative: " + value);
        }
    }

    // -- factories

    /**
     * Returns the version with the given number.
     *
     * @param value the number, not negative
     * @return the version
     */
    public static ConfigVersion of(long value) {
        return value == 0 ? NONE : new ConfigVersion(value);
    }

    // -- transformations

    /**
     * Returns the version after this one.
     *
     * @return the next version
     */
    public ConfigVersion next() {
        return new ConfigVersion(value + 1);
    }

    /**
     * Returns the later of two versions.
     *
     * @param other the other version
     * @return this or {@code other}
     */
    public ConfigVersion max(ConfigVersion other) {
        return isOlderThan(other) ? other : this;
    }

    // -- comparison

    /**
     * Tells whether this version precedes another.
     *
     * @param other the other version
     * @return true if it does
     */
    public boolean isOlderThan(ConfigVersion other) {
        return value < other.value;
    }

    @Override
    public int compareTo(ConfigVersion other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
