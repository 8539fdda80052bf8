package org.teaselhook.node.agent;

import java.net.InetSocketAddress;

/**
 * Opens connections to entries.
 */
@FunctionalInterface
interface Dialer {

    /** Opens a new connection without waiting for it; failures come as an end of the stream. */
    EntryStream dial(InetSocketAddress address, StreamEvents events);
}
