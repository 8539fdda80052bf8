package org.teaselhook.node.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import org.teaselhook.core.grant.SlotAllocator;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.wire.Dispatch;

/**
 * The dispatches without a grant that wait for idle grants to be returned, in order of arrival. Their number per entry
 * is reported to the slot allocator. Confined to the control thread.
 */
final class HeldDispatches {

    /** The maximum time for which a dispatch is held. */
    static final long MAX_HOLD_NANOS = 20_000_000L;

    private final SlotAllocator allocator;
    private final List<HeldDispatch> waiting = new ArrayList<>();
    private final List<HeldDispatch> reserved = new ArrayList<>();

    HeldDispatches(SlotAllocator allocator) {
        this.allocator = allocator;
    }

    // -- accessors

    /** Whether any dispatch of an entry is waiting. */
    boolean isHolding(Incarnation entry) {
        return waiting.stream().anyMatch(held -> held.entry().equals(entry));
    }

    // -- updates

    void hold(Incarnation entry, Dispatch task, AgentTime time) {
        waiting.add(new HeldDispatch(entry, task, time));
        allocator.hold(entry);
    }

    /** Reserves new grants for the oldest dispatches of an entry, and returns the number of remaining grants. */
    int reserve(Incarnation entry, int granted) {
        List<HeldDispatch> oldest = waiting.stream()
                .filter(held -> held.entry().equals(entry))
                .limit(granted)
                .toList();
        waiting.removeAll(oldest);
        reserved.addAll(oldest);
        return granted - oldest.size();
    }

    /** Removes and returns the dispatches for which a slot was reserved. */
    List<HeldDispatch> takeReserved() {
        List<HeldDispatch> taken = List.copyOf(reserved);
        reserved.clear();
        return taken;
    }

    /** Removes and returns the dispatches held for the maximum time, or all of them if no slot can be expected. */
    List<HeldDispatch> takeExpired(boolean canStart, long nowNanos) {
        boolean noSlotExpected = !canStart || !allocator.isReclaiming();
        return release(held -> noSlotExpected || nowNanos - held.arrival().nanos() >= MAX_HOLD_NANOS);
    }

    /** Removes a cancelled dispatch. */
    void remove(Incarnation entry, long dispatch) {
        release(held -> held.entry().equals(entry) && held.task().getDispatch() == dispatch);
    }

    /** Removes the dispatches of an entry whose connection has ended; they are resolved when it reconnects. */
    void removeAll(Incarnation entry) {
        release(held -> held.entry().equals(entry));
    }

    private List<HeldDispatch> release(Predicate<HeldDispatch> condition) {
        if (waiting.isEmpty()) {
            return List.of();
        }
        List<HeldDispatch> taken = waiting.stream().filter(condition).toList();
        waiting.removeIf(condition);
        taken.forEach(held -> allocator.release(held.entry()));
        return taken;
    }
}
