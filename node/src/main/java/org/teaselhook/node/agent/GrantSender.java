package org.teaselhook.node.agent;

import java.util.HashMap;
import java.util.Map;

import org.teaselhook.core.grant.GrantChange;
import org.teaselhook.core.grant.SlotAllocator;
import org.teaselhook.core.id.Incarnation;

/**
 * Allocates free slots and sends the resulting grants and reclaims to the entries. Confined to the control thread.
 */
final class GrantSender {

    private final SlotAllocator allocator;
    private final HeldDispatches heldDispatches;
    private final Map<Incarnation, EntryState> entries;

    GrantSender(SlotAllocator allocator, HeldDispatches heldDispatches, Map<Incarnation, EntryState> entries) {
        this.allocator = allocator;
        this.heldDispatches = heldDispatches;
        this.entries = entries;
    }

    /** Allocates the free slots if tasks can start, and sends the grants. */
    void sendGrants(boolean canStart, long nowNanos) {
        send(allocate(canStart, nowNanos));
    }

    /**
     * Allocates the free slots and sends the grants, except those for one entry: it returns their number, and the
     * caller piggybacks them on another frame.
     */
    int sendGrantsExcept(Incarnation recipient, boolean canStart, long nowNanos) {
        Map<Incarnation, Integer> granted = allocate(canStart, nowNanos);
        Integer result = granted.remove(recipient);
        send(granted);
        return result == null ? 0 : result;
    }

    private void send(Map<Incarnation, Integer> granted) {
        granted.forEach((id, slots) -> entries.get(id).send(AgentFrames.grant(slots, allocator.openSlots())));
    }

    /** Sends the reclaims, reserves slots for held dispatches, and returns the remaining grants by entry. */
    private Map<Incarnation, Integer> allocate(boolean canStart, long nowNanos) {
        allocator.allowGrants(canStart);
        Map<Incarnation, Integer> granted = new HashMap<>();
        for (GrantChange change : allocator.allocate(nowNanos)) {
            if (change.reclaimed() > 0) {
                entries.get(change.entry()).send(AgentFrames.reclaim(change.reclaimed()));
            }
            int remaining = heldDispatches.reserve(change.entry(), change.granted());
            if (remaining > 0) {
                granted.put(change.entry(), remaining);
            }
        }
        return granted;
    }
}
