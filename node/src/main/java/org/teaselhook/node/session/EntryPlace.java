package org.teaselhook.node.session;

/**
 * Where an entry is.
 *
 * @param address its gRPC address (host:port)
 * @param zone its availability zone
 */
public record EntryPlace(String address, String zone) {}
