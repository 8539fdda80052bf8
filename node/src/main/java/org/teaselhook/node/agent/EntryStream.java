package org.teaselhook.node.agent;

import java.net.InetSocketAddress;

import org.teaselhook.wire.AgentFrame;

/**
 * One connection to an entry. Used by the control thread.
 */
interface EntryStream {

    /** Returns the address that was dialed. */
    InetSocketAddress address();

    /** Sends a frame; does nothing once the stream has ended. */
    void send(AgentFrame frame);

    /** Ends the stream after what was sent. */
    void finish();

    /** Drops the stream and its socket at once. */
    void abort();
}
