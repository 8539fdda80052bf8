/**
 * The entry's state machine: which task starts where and when, what is refused, retried and answered.
 *
 * <p>{@link org.teaselhook.core.dispatch.Dispatcher} is confined to one thread, does no I/O and reads no clock; its
 * effects leave through {@link org.teaselhook.core.dispatch.DispatchOutput}.
 */
package org.teaselhook.core.dispatch;
