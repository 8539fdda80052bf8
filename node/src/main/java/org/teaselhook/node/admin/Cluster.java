package org.teaselhook.node.admin;

import java.util.List;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.config.ConfigVersion;

/**
 * What an entry knows of the running system. Implemented by the entry; called on traffic threads, so its methods are
 * safe for use by several threads and do not block.
 */
public interface Cluster {

    /**
     * Returns the processes as all entries that answer see them: every live entry, every entry that has fallen silent
     * and may still be live, and every agent connected to any of them, each with the newest configuration version that
     * it has confirmed.
     *
     * @return the processes, later
     */
    CompletionStage<List<ProcessStatus>> processes();

    /**
     * Returns the configuration held by this entry.
     *
     * @return its version and text, later
     */
    CompletionStage<HeldConfig> held();

    /**
     * Tells whether this entry is stopping, after which other entries do not wait for it.
     *
     * @return true if it accepts no more changes
     */
    boolean isStopping();

    /**
     * Takes over an accepted rules file here and sends it to every peer and agent at once.
     *
     * @param version the version
     * @param text the whole text
     * @param operation the operation that applied it
     * @return completes when another entry has confirmed the version, or when none has for a second
     */
    CompletionStage<Void> push(ConfigVersion version, String text, String operation);
}
