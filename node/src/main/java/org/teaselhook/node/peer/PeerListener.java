package org.teaselhook.node.peer;

import java.util.List;

import org.teaselhook.core.config.KnownEntry;
import org.teaselhook.core.config.PeerReport;
import org.teaselhook.wire.ConfigDocument;

/**
 * Receives the reports of other entries. Called on the control thread.
 */
public interface PeerListener {

    /**
     * Called when another entry has reported its state.
     *
     * @param report the reported state of its configuration
     * @param known the entries that it knows; empty unless this entry requested them
     * @param asOfNanos a time on this entry's clock after which the peer certainly sent the report
     * @param nowNanos the current time
     */
    void peerReported(PeerReport report, List<KnownEntry> known, long asOfNanos, long nowNanos);

    /**
     * Called when another entry that is not stopping has connected to this one.
     *
     * @param entry the entry
     * @param nowNanos the current time
     */
    void peerConnected(KnownEntry entry, long nowNanos);

    /**
     * Called when another entry has sent its configuration.
     *
     * @param document the configuration
     */
    void configReceived(ConfigDocument document);
}
