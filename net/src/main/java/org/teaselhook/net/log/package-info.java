/**
 * Log lines of key=value pairs.
 */
package org.teaselhook.net.log;
