package org.teaselhook.node.agent;

import org.teaselhook.wire.EntryFrame;

/**
 * Receives the events of streams. Called on I/O threads, in order for each stream.
 */
interface StreamListener {

    /** Called for each received frame. */
    void frameReceived(EntryStream stream, EntryFrame frame);

    /** Called once, when the entry has closed the stream or it has failed. */
    void streamEnded(EntryStream stream, String reason);
}
