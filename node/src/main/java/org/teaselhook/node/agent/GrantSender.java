package org.teaselhook.node.agent;

import java.util.HashMap;
import java.util.Map;

import org.teaselhook.core.grant.GrantChange;
import org.teaselhook.core.grant.GrantSharing;
import org.teaselhook.core.id.Incarnation;

/**
 * Shares the free slots and tells the entries. Confined to the control thread.
 */
final class GrantSender {

    private final GrantSharing sharing;
    private final HeldDispatches held;
    private final Map<Incarnation, EntryState> entries;

    GrantSender(GrantSharing sharing, HeldDispatches held, Map<Incarnation, EntryState> entries) {
        this.sharing = sharing;
        this.held = held;
        this.entries = entries;
    }

    /** Shares the free slots if tasks can start. */
    void share(boolean canStart, long nowNanos) {
        send(changes(canStart, nowNanos));
    }

    /** Shares the free slots, and returns those granted to one entry, for the frame that goes there anyway. */
    int shareAlong(Incarnation along, boolean canStart, long nowNanos) {
        Map<Incarnation, Integer> granted = changes(canStart, nowNanos);
        Integer result = granted.remove(along);
        send(granted);
        return result == null ? 0 : result;
    }

    private void send(Map<Incarnation, Integer> granted) {
        granted.forEach((id, slots) -> entries.get(id).send(AgentFrames.grant(slots, sharing.openSlots())));
    }

    /** Asks for slots back, and returns what to grant beyond the needs of held dispatches. */
    private Map<Incarnation, Integer> changes(boolean canStart, long nowNanos) {
        sharing.open(canStart);
        Map<Incarnation, Integer> granted = new HashMap<>();
        for (GrantChange change : sharing.share(nowNanos)) {
            if (change.reclaimed() > 0) {
                entries.get(change.entry()).send(AgentFrames.reclaim(change.reclaimed()));
            }
            int left = held.admit(change.entry(), change.granted());
            if (left > 0) {
                granted.put(change.entry(), left);
            }
        }
        return granted;
    }
}
