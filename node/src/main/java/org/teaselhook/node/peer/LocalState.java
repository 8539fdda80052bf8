package org.teaselhook.node.peer;

import java.util.List;
import java.util.OptionalLong;

import org.teaselhook.core.config.KnownEntry;
import org.teaselhook.wire.ConfigDocument;

/**
 * The state of its configuration that an entry reports to other entries. Called on the control thread.
 */
public interface LocalState {

    /**
     * Returns the configuration in force.
     *
     * @return the document; version 0 while there is none
     */
    ConfigDocument document();

    /**
     * Returns the age of the last confirmation that the configuration is the newest.
     *
     * @param nowNanos the current time
     * @return the age in nanoseconds, or empty if there is no confirmation or it is too old
     */
    OptionalLong confirmedAgeNanos(long nowNanos);

    /**
     * Tells whether the table service is reachable.
     *
     * @return true if the last read was answered
     */
    boolean isTableReachable();

    /**
     * Tells whether this entry has no list of the entries yet.
     *
     * @return true until the table service or a peer has listed them
     */
    boolean lacksEntries();

    /**
     * Returns the entries that the table service listed last.
     *
     * @return the entries, including this one
     */
    List<KnownEntry> listedEntries();
}
