/**
 * The timeline of a request from the logs of several processes.
 */
package org.teaselhook.app.explain;
