/**
 * The gRPC server of an entry and the channels to it.
 */
package org.teaselhook.node.grpc;
