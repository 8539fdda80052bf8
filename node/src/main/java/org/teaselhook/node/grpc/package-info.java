/**
 * Channels and streams between the system's processes.
 */
package org.teaselhook.node.grpc;
