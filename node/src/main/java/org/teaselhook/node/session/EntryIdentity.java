package org.teaselhook.node.session;

import org.teaselhook.core.id.Incarnation;

/**
 * The identity of an entry, as reported to agents and other entries.
 *
 * @param name the entry's name
 * @param incarnation the incarnation of this entry process
 * @param zone the availability zone
 * @param address the gRPC address (host:port) that agents and other entries connect to
 */
public record EntryIdentity(String name, Incarnation incarnation, String zone, String address) {}
