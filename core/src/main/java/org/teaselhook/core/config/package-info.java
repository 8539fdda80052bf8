/**
 * Versions of the configuration: which one a process holds, and whether it is recent enough to start work.
 *
 * <p>The history is a straight line of versions, so what a process lacks is told by comparing two numbers.
 */
package org.teaselhook.core.config;
