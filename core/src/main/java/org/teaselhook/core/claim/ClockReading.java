package org.teaselhook.core.claim;

/**
 * The current time on both clocks of a process.
 *
 * @param nanos the monotonic time in nanoseconds; only differences are meaningful
 * @param wallMillis the wall-clock time in milliseconds since the epoch
 */
public record ClockReading(long nanos, long wallMillis) {

    /**
     * Returns a reading.
     *
     * @param nanos the monotonic time in nanoseconds
     * @param wallMillis the wall-clock time in milliseconds since the epoch
     * @return the reading
     */
    public static ClockReading of(long nanos, long wallMillis) {
        return new ClockReading(nanos, wallMillis);
    }
}
