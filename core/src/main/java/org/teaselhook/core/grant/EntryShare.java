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
        return connected && wanted > 0;
    }

    /** Whether idle slots may be spread to the entry while it wants none. */
    boolean takesIdle() {
        return connected && !declined;
    }

    int wanted() {
        return wanted;
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
        reclaiming = 0;
        newlyGranted = 0;
        newlyReclaimed = 0;
    }

    void want(int slots) {
        wanted = Math.max(0, slots);
        declined &= wanted == 0;
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

    void grant(long sequence) {
        idle++;
        wanted = Math.max(0, wanted - 1);
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
