/**
 * Connections between the system's processes that carry length-prefixed messages, several of them in one write.
 */
package org.teaselhook.node.frame;
