package org.teaselhook.node.agent;

import java.net.InetSocketAddress;

import org.teaselhook.wire.AgentFrame;

/**
 * One connection to an entry. Used by the control thread.
 */
interface EntryStream {

    /** Returns the dialed address. */
    InetSocketAddress address();

    /** Sends a frame; does nothing once the stream has ended. */
    void send(AgentFrame frame);

    /** Closes the stream after the frames sent so far. */
    void finish();

    /** Closes the stream and its socket immediately. */
    void abort();
}
