package org.teaselhook.node.agent;

import org.teaselhook.wire.EntryFrame;

/**
 * Events of a stream. Called on traffic threads, in order for each stream.
 */
interface StreamEvents {

    /** Called for each frame that arrived. */
    void received(EntryStream stream, EntryFrame frame);

    /** Called once, when the stream has ended by itself. */
    void ended(EntryStream stream, String reason);
}
