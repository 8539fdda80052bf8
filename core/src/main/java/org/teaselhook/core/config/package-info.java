/**
 * Versions of the configuration: the current one of a process, and whether it is recent enough to start work.
 *
 * <p>The version history is linear, so comparing two numbers tells whether a process is behind.
 */
package org.teaselhook.core.config;
