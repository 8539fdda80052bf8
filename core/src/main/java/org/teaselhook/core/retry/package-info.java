/**
 * Bounds on work that is sent again.
 */
package org.teaselhook.core.retry;
