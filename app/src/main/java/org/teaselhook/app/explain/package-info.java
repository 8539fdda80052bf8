/**
 * One request's story out of the logs of several processes.
 */
package org.teaselhook.app.explain;
