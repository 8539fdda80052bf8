/**
 * The runs on one worker, which last only while their lease is renewed: what may start, what certainly has ended, and
 * which late orders must be kept from taking effect. Free of I/O; every method takes the present time.
 */
package org.teaselhook.core.lease;
