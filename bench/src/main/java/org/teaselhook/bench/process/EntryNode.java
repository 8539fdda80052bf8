package org.teaselhook.bench.process;

import java.net.InetSocketAddress;

/**
 * An entry as a process.
 *
 * @param process the process
 * @param zone the availability zone
 * @param http where callers and operators reach it
 * @param grpc where agents and other entries reach it, through a relay if the site has relays
 */
public record EntryNode(ProcessNode process, String zone, InetSocketAddress http, InetSocketAddress grpc) {}
