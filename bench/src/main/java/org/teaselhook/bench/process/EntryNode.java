package org.teaselhook.bench.process;

import java.net.InetSocketAddress;

/**
 * An entry process.
 *
 * @param process the process
 * @param zone the availability zone
 * @param http the entry's own HTTP address, which bypasses the relay
 * @param callers the connection path of callers and operators to its HTTP server
 * @param grpc the connection path of agents and other entries to its gRPC server
 */
public record EntryNode(ProcessNode process, String zone, InetSocketAddress http, Link callers, Link grpc) {}
