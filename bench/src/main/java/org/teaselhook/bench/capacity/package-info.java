/**
 * Measures the resource usage of each role as a function of its load and the number of its peers, and fits a line to
 * each measure.
 *
 * <p>A part runs one role as a real process against simulated sessions inside this JVM, at three or more sizes. It
 * prints a line of {@code key=value} pairs for each size, and one for the line fitted to each measure.
 */
package org.teaselhook.bench.capacity;
