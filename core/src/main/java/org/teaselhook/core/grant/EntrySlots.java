package org.teaselhook.core.grant;

import org.teaselhook.core.id.Incarnation;

/**
 * The slots of one incarnation of an entry: those in which its tasks run, and those granted but not yet used.
 */
final class EntrySlots {

    private final Incarnation entry;
    private boolean connected;
    private boolean declined;
    private int running;
    private int idle;
    private int requested;
    private int heldDispatches;
    private boolean demandPending;
    private boolean hasDemand;
    private long demandAtNanos;
    private int reclaiming;
    private long reclaimedAtNanos;
    private long lastGrant;
    private int newlyGranted;
    private int newlyReclaimed;

    EntrySlots(Incarnation entry) {
        this.entry = entry;
    }

    // -- accessors

    Incarnation entry() {
        return entry;
    }

    boolean connected() {
        return connected;
    }

    int idle() {
        return idle;
    }

    int running() {
        return running;
    }

    /** Slots that the entry holds and was not asked to return. */
    int allocated() {
        return running + idle - reclaiming;
    }

    /** Idle slots that the entry was not asked to return. */
    int spare() {
        return idle - reclaiming;
    }

    boolean needsMore() {
        return connected && needed() > 0;
    }

    /** Whether the entry does not need its idle slots: it requested none, or has left them unused for too long. */
    boolean needsNoIdle() {
        return connected && !needsMore() && !hasDemand;
    }

    /** Whether idle slots may be granted to the entry without demand. */
    boolean acceptsIdle() {
        return connected && !declined;
    }

    /** Slots that the entry requested, and those that its held dispatches wait for. */
    int needed() {
        return requested + heldDispatches;
    }

    int heldDispatches() {
        return heldDispatches;
    }

    long lastGrant() {
        return lastGrant;
    }

    boolean isRemovable() {
        return !connected && running == 0;
    }

    // -- updates

    void connect() {
        disconnect();
        connected = true;
        declined = false;
    }

    void disconnect() {
        connected = false;
        idle = 0;
        requested = 0;
        heldDispatches = 0;
        demandPending = false;
        hasDemand = false;
        reclaiming = 0;
        newlyGranted = 0;
        newlyReclaimed = 0;
    }

    void setDemand(int slots) {
        requested = Math.max(0, slots);
        demandPending = requested > 0;
        declined &= requested == 0;
    }

    void hold() {
        heldDispatches++;
    }

    void release() {
        heldDispatches--;
    }

    void decline() {
        declined = true;
    }

    void start(boolean granted) {
        if (granted && idle > 0) {
            useIdle();
        }
        running++;
    }

    void useIdle() {
        idle--;
        reclaiming = Math.min(reclaiming, idle);
    }

    void finish() {
        running--;
    }

    /** Records the time of new demand, and ends the demand if granted slots are left unused for too long. */
    void updateDemand(long nowNanos, long unusedNanos) {
        if (demandPending) {
            demandPending = false;
            hasDemand = true;
            demandAtNanos = nowNanos;
        }
        if (hasDemand && nowNanos - demandAtNanos > unusedNanos) {
            hasDemand = false;
            requested = spare() > 0 ? 0 : requested;
        }
    }

    void grant(long sequence, long nowNanos) {
        idle++;
        if (heldDispatches > 0) {
            heldDispatches--;
        } else if (requested > 0) {
            requested--;
            hasDemand = true;
            demandAtNanos = nowNanos;
        }
        newlyGranted++;
        lastGrant = sequence;
    }

    void reclaim(long nowNanos) {
        reclaiming++;
        newlyReclaimed++;
        reclaimedAtNanos = nowNanos;
    }

    void returnSlots(int slots) {
        declined |= slots > 0 && reclaiming == 0;
        idle -= Math.max(0, Math.min(slots, idle));
        reclaiming = 0;
    }

    void expireReclaim(long nowNanos, long timeoutNanos) {
        if (reclaiming > 0 && nowNanos - reclaimedAtNanos > timeoutNanos) {
            reclaiming = 0;
        }
    }

    GrantChange takeChange() {
        GrantChange change = new GrantChange(entry, newlyGranted, newlyReclaimed);
        newlyGranted = 0;
        newlyReclaimed = 0;
        return change;
    }

    boolean hasChange() {
        return newlyGranted > 0 || newlyReclaimed > 0;
    }
}
