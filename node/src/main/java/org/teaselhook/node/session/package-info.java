/**
 * An entry's sessions with agents: streams, silence, clocks and frames.
 */
package org.teaselhook.node.session;
