/**
 * Limits on retries.
 */
package org.teaselhook.core.retry;
