/**
 * The entry's dispatch state machine: decides which task starts on which worker and when, and which submissions are
 * refused, retried and answered.
 *
 * <p>{@link org.teaselhook.core.dispatch.Dispatcher} is confined to one thread, does no I/O and reads no clock; it
 * emits its effects through {@link org.teaselhook.core.dispatch.DispatchOutput}.
 */
package org.teaselhook.core.dispatch;
