package org.teaselhook.node.session;

import java.util.List;

import org.teaselhook.wire.EntryHeartbeat;

/**
 * Adds the list of live entries to the first heartbeat of a connection and to the first one after each change.
 * Confined to the control thread.
 */
public final class EntryListUpdates {

    private List<EntryLocation> lastSent = List.of();

    /**
     * Adds all live entries to a heartbeat, or none if the list equals the one sent last.
     *
     * @param heartbeat the heartbeat to be sent
     * @param liveEntries the live entries, at least one
     */
    public void addTo(EntryHeartbeat.Builder heartbeat, List<EntryLocation> liveEntries) {
        if (liveEntries.equals(lastSent)) {
            return;
        }
        lastSent = List.copyOf(liveEntries);
        for (EntryLocation location : lastSent) {
            heartbeat.addEntries(location.address()).addEntryZones(location.zone());
        }
    }
}
