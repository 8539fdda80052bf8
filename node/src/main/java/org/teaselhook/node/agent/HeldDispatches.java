package org.teaselhook.node.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import org.teaselhook.core.grant.GrantSharing;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.wire.Dispatch;

/**
 * The dispatches without a grant that wait for idle grants to come back, in the order of arrival. The sharing knows
 * their number for each entry. Confined to the control thread.
 */
final class HeldDispatches {

    /** The longest time that a dispatch waits. */
    static final long HOLD_NANOS = 20_000_000L;

    private final GrantSharing sharing;
    private final List<HeldDispatch> waiting = new ArrayList<>();
    private final List<HeldDispatch> admitted = new ArrayList<>();

    HeldDispatches(GrantSharing sharing) {
        this.sharing = sharing;
    }

    // -- accessors

    /** Tells whether a dispatch of an entry waits. */
    boolean holds(Incarnation entry) {
        return waiting.stream().anyMatch(held -> held.entry().equals(entry));
    }

    // -- updates

    void hold(Incarnation entry, Dispatch task, AgentTime time) {
        waiting.add(new HeldDispatch(entry, task, time));
        sharing.hold(entry);
    }

    /** Sets slots just granted to an entry aside for its oldest dispatches, and returns how many are left. */
    int admit(Incarnation entry, int granted) {
        List<HeldDispatch> next = waiting.stream()
                .filter(held -> held.entry().equals(entry))
                .limit(granted)
                .toList();
        waiting.removeAll(next);
        admitted.addAll(next);
        return granted - next.size();
    }

    /** Takes out the dispatches for which a slot was set aside. */
    List<HeldDispatch> takeAdmitted() {
        List<HeldDispatch> taken = List.copyOf(admitted);
        admitted.clear();
        return taken;
    }

    /** Takes out the dispatches that have no slot to wait for, or have waited long enough. */
    List<HeldDispatch> takeHopeless(boolean canStart, long nowNanos) {
        boolean hopeless = !canStart || !sharing.isReclaiming();
        return release(held -> hopeless || nowNanos - held.arrival().nanos() >= HOLD_NANOS);
    }

    /** Drops a dispatch that was cancelled. */
    void remove(Incarnation entry, long dispatch) {
        release(held -> held.entry().equals(entry) && held.task().getDispatch() == dispatch);
    }

    /** Drops the dispatches of an entry whose connection has ended; the entry settles them on the next one. */
    void forget(Incarnation entry) {
        release(held -> held.entry().equals(entry));
    }

    private List<HeldDispatch> release(Predicate<HeldDispatch> condition) {
        if (waiting.isEmpty()) {
            return List.of();
        }
        List<HeldDispatch> taken = waiting.stream().filter(condition).toList();
        waiting.removeIf(condition);
        taken.forEach(held -> sharing.release(held.entry()));
        return taken;
    }
}
