package org.teaselhook.node.peer;

import org.teaselhook.wire.ConfigDocument;

/**
 * Is told what an entry learns from other entries. Called on the control thread.
 */
public interface PeerEvents {

    /**
     * Another entry spoke.
     *
     * @param peer what it said
     * @param asOfNanos an instant on this entry's clock after which the peer certainly spoke
     */
    void peerSpoke(PeerInfo peer, long asOfNanos);

    /**
     * Another entry sent its configuration.
     *
     * @param document the configuration
     */
    void configReceived(ConfigDocument document);
}
