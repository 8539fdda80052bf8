package org.teaselhook.node.session;

/**
 * The address and availability zone of an entry.
 *
 * @param address the gRPC address (host:port)
 * @param zone the availability zone
 */
public record EntryLocation(String address, String zone) {}
