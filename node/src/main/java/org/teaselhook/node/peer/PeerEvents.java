package org.teaselhook.node.peer;

import java.util.List;

import org.teaselhook.core.config.KnownEntry;
import org.teaselhook.core.config.PeerWord;
import org.teaselhook.wire.ConfigDocument;

/**
 * Is told what an entry learns from other entries. Called on the control thread.
 */
public interface PeerEvents {

    /**
     * Another entry spoke.
     *
     * @param word what it said of its configuration
     * @param known the entries that it knows; empty unless this entry asked for them
     * @param asOfNanos an instant on this entry's clock after which the peer certainly spoke
     * @param nowNanos the present time
     */
    void peerSpoke(PeerWord word, List<KnownEntry> known, long asOfNanos, long nowNanos);

    /**
     * Another entry dialed this one and is not about to leave.
     *
     * @param entry the entry
     * @param nowNanos the present time
     */
    void peerDialed(KnownEntry entry, long nowNanos);

    /**
     * Another entry sent its configuration.
     *
     * @param document the configuration
     */
    void configReceived(ConfigDocument document);
}
