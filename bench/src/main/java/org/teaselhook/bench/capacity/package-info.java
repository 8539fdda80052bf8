/**
 * Measures what each role costs against its sizes, and fits a line through each measure.
 *
 * <p>A part runs one role as a real process against light sessions inside this JVM, at three sizes or more. It prints a
 * line of {@code key=value} pairs for each size and one for the line fitted through each measure.
 */
package org.teaselhook.bench.capacity;
