/**
 * Scheduling of jobs whose tasks request amounts of resources: admission control, the order of waiting jobs, and the
 * placement of tasks on workers. Free of I/O; methods take the present time on the entry's monotonic clock, in
 * nanoseconds.
 */
package org.teaselhook.core.job;
