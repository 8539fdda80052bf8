package org.teaselhook.bench.process;

import java.net.InetSocketAddress;

/**
 * An entry as a process.
 *
 * @param process the process
 * @param zone the availability zone
 * @param http its HTTP address, without a relay
 * @param callers the way from callers and operators to its HTTP
 * @param grpc the way from agents and other entries
 */
public record EntryNode(ProcessNode process, String zone, InetSocketAddress http, Link callers, Link grpc) {}
