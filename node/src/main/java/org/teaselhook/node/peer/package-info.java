/**
 * An entry's links to other entries: heartbeats, configuration and forwarded submissions.
 */
package org.teaselhook.node.peer;
