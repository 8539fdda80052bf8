package org.teaselhook.node.agent;

import java.net.InetSocketAddress;

/**
 * An entry that an agent may connect to.
 *
 * @param address its gRPC address
 * @param zone its availability zone, empty while it is not known
 */
record KnownEntry(InetSocketAddress address, String zone) {}
