package org.teaselhook.node.agent;

import java.net.InetSocketAddress;

/**
 * Opens connections to entries.
 */
@FunctionalInterface
interface Dialer {

    /** Opens a connection asynchronously; a failure is reported through {@link StreamListener#streamEnded}. */
    EntryStream dial(InetSocketAddress address, StreamListener listener);
}
