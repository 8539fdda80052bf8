/**
 * Jobs whose tasks ask for amounts: which wait and in what order, which are turned away, and where each task runs. Free
 * of I/O; every method takes the present time on the entry's monotonic clock, in nanoseconds.
 */
package org.teaselhook.core.job;
