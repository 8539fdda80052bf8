package org.teaselhook.node.admin;

import java.util.List;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.config.ConfigVersion;

/**
 * The cluster as known to an entry. Called on I/O threads, so implementations are thread-safe and do not block.
 */
public interface Cluster {

    /**
     * Returns the processes as seen by all responding entries together: every live entry, every unresponsive entry that
     * may still be live, and every agent connected to any responding entry, each with the newest configuration version
     * that it has confirmed.
     *
     * @return completes with the processes
     */
    CompletionStage<List<ProcessStatus>> processes();

    /**
     * Returns the configuration held by this entry.
     *
     * @return completes with its version and text
     */
    CompletionStage<HeldConfig> heldConfig();

    /**
     * Tells whether this entry is stopping. Other entries then no longer wait for it.
     *
     * @return true if it accepts no more changes
     */
    boolean isStopping();

    /**
     * Adopts an accepted rules file in this entry and sends it to all peers and agents immediately.
     *
     * @param version the version
     * @param text the complete rules file
     * @param operation the operation that applied it
     * @return completes when another entry has confirmed the version, or after 1 s without a confirmation
     */
    CompletionStage<Void> push(ConfigVersion version, String text, String operation);
}
