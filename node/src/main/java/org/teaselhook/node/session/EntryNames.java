package org.teaselhook.node.session;

import java.util.List;

import org.teaselhook.wire.EntryHeartbeat;

/**
 * Decides which heartbeats on a connection to an agent name the live entries: the first, and those after a change.
 * Confined to the control thread.
 */
public final class EntryNames {

    private List<EntryPlace> named = List.of();

    /**
     * Names all live entries in the next heartbeat, or none if they are those that were named last.
     *
     * @param live the live entries, at least one
     * @param heartbeat the heartbeat to be sent
     */
    public void addTo(EntryHeartbeat.Builder heartbeat, List<EntryPlace> live) {
        if (live.equals(named)) {
            return;
        }
        named = List.copyOf(live);
        for (EntryPlace place : named) {
            heartbeat.addEntries(place.address()).addEntryZones(place.zone());
        }
    }
}
