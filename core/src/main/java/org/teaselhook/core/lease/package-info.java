/**
 * The runs on one worker, which end unless their lease is renewed: which runs may start, which have certainly ended,
 * and which late calls must be kept from taking effect. Performs no I/O; the present time is passed in by the caller.
 */
package org.teaselhook.core.lease;
