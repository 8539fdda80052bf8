/**
 * Logging of key=value lines, limited in rate and written without blocking the caller.
 */
package org.teaselhook.net.log;
