package org.teaselhook.node.session;

import org.teaselhook.core.id.Incarnation;

/**
 * Who an entry is to agents and other entries.
 *
 * @param name the entry's name
 * @param incarnation this run of the entry
 * @param zone the availability zone
 * @param address the gRPC address (host:port) under which others reach it
 */
public record EntryIdentity(String name, Incarnation incarnation, String zone, String address) {}
