/**
 * An entry's sessions with agents: streams, timeouts, clock estimates and frame conversion.
 */
package org.teaselhook.node.session;
