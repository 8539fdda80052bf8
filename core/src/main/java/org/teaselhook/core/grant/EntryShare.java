package org.teaselhook.core.grant;

import org.teaselhook.core.id.Incarnation;

/**
 * The slots of one run of an entry: those in which its tasks run, and those granted and not yet used.
 */
final class EntryShare {

    private final Incarnation entry;
    private boolean connected;
    private boolean declined;
    private int running;
    private int idle;
    private int wanted;
    private int held;
    private boolean demandIsNew;
    private boolean demanded;
    private long demandedAtNanos;
    private int reclaiming;
    private long reclaimedAtNanos;
    private long lastGrant;
    private int newlyGranted;
    private int newlyReclaimed;

    EntryShare(Incarnation entry) {
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

    /** Slots that the entry holds and was not asked to give back. */
    int held() {
        return running + idle - reclaiming;
    }

    /** Idle slots that the entry was not asked to give back. */
    int spare() {
        return idle - reclaiming;
    }

    boolean wantsMore() {
        return connected && needed() > 0;
    }

    /** Whether the entry has no use for idle slots: it asked for none, or has left them unused for long. */
    boolean needsNone() {
        return connected && !wantsMore() && !demanded;
    }

    /** Whether idle slots may be spread to the entry while it wants none. */
    boolean takesIdle() {
        return connected && !declined;
    }

    /** Slots that the entry asked for, and those that its held dispatches wait for. */
    int needed() {
        return wanted + held;
    }

    int waiting() {
        return held;
    }

    long lastGrant() {
        return lastGrant;
    }

    boolean isUnused() {
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
        wanted = 0;
        held = 0;
        demandIsNew = false;
        demanded = false;
        reclaiming = 0;
        newlyGranted = 0;
        newlyReclaimed = 0;
    }

    void want(int slots) {
        wanted = Math.max(0, slots);
        demandIsNew = wanted > 0;
        declined &= wanted == 0;
    }

    void hold() {
        held++;
    }

    void release() {
        held--;
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

    /** Notes when demand was heard of, and takes it as over when idle slots are left unused for too long. */
    void followDemand(long nowNanos, long unusedNanos) {
        if (demandIsNew) {
            demandIsNew = false;
            demanded = true;
            demandedAtNanos = nowNanos;
        }
        if (demanded && nowNanos - demandedAtNanos > unusedNanos) {
            demanded = false;
            wanted = spare() > 0 ? 0 : wanted;
        }
    }

    void grant(long sequence, long nowNanos) {
        idle++;
        if (held > 0) {
            held--;
        } else if (wanted > 0) {
            wanted--;
            demanded = true;
            demandedAtNanos = nowNanos;
        }
        newlyGranted++;
        lastGrant = sequence;
    }

    void reclaim(long nowNanos) {
        reclaiming++;
        newlyReclaimed++;
        reclaimedAtNanos = nowNanos;
    }

    void giveBack(int slots) {
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
