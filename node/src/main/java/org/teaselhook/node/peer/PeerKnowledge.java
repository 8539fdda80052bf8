package org.teaselhook.node.peer;

import java.util.List;
import java.util.OptionalLong;

import org.teaselhook.core.config.KnownEntry;
import org.teaselhook.wire.ConfigDocument;

/**
 * What an entry tells other entries of its configuration. Called on the control thread.
 */
public interface PeerKnowledge {

    /**
     * Returns the configuration in force.
     *
     * @return the document; version 0 while there is none
     */
    ConfigDocument document();

    /**
     * Returns how long ago the instant lies as of which the configuration is confirmed as the newest.
     *
     * @param nowNanos the present time
     * @return the age in nanoseconds, or empty if it is too old
     */
    OptionalLong confirmedAgeNanos(long nowNanos);

    /**
     * Tells whether the table service is reached.
     *
     * @return true if the last read was answered
     */
    boolean isTableReachable();

    /**
     * Tells whether this entry does not know which entries there are.
     *
     * @return true until the table service or a peer has listed them
     */
    boolean lacksEntries();

    /**
     * Returns the entries that the table service listed last.
     *
     * @return the entries, this one among them
     */
    List<KnownEntry> listedEntries();
}
