package org.teaselhook.node.session;

import java.util.List;

/**
 * Decides which heartbeats to an agent name the live entries: those after a change, and every eighth, since agents
 * forget entries that are no longer named. Confined to the control thread.
 */
final class EntryNames {

    /** Heartbeats from one naming to the next while nothing changes. */
    static final int REPEAT_HEARTBEATS = 8;

    private List<String> named = List.of();
    private int unnamedHeartbeats = REPEAT_HEARTBEATS;

    /** Returns the entries to be named in the next heartbeat, possibly none. */
    List<String> next(List<String> live) {
        unnamedHeartbeats++;
        if (live.equals(named) && unnamedHeartbeats < REPEAT_HEARTBEATS) {
            return List.of();
        }
        named = List.copyOf(live);
        unnamedHeartbeats = 0;
        return named;
    }
}
