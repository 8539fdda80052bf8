package org.teaselhook.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.agrona.collections.Long2ObjectHashMap;

/**
 * A worker as known by its agent's word. Grows with the orders in progress there.
 */
final class Worker {

    private final AgentInfo info;
    private final boolean near;
    private final Map<String, Member> members = new HashMap<>();
    private final Long2ObjectHashMap<Attempt> attempts = new Long2ObjectHashMap<>();
    private boolean leaving;
    private boolean silent;
    private boolean zoneOut;
    private long blockedUntil = Long.MIN_VALUE;
    private int grants;
    private int open;
    private long openSince;
    private int announced;
    private long announcedAt = Long.MIN_VALUE;

    Worker(AgentInfo info, boolean near) {
        this.info = info;
        this.near = near;
    }

    // -- accessors

    AgentInfo info() {
        return info;
    }

    boolean near() {
        return near;
    }

    Map<String, Member> members() {
        return members;
    }

    List<Attempt> attempts() {
        return new ArrayList<>(attempts.values());
    }

    int running() {
        return attempts.size();
    }

    int grants() {
        return grants;
    }

    /** Returns the slots that an order without a grant would probably get. */
    int open() {
        return Math.max(0, open - grants);
    }

    /** Returns when the agent last told its open slots. */
    long openSince() {
        return openSince;
    }

    boolean isZoneOut() {
        return zoneOut;
    }

    boolean isSilent() {
        return silent;
    }

    /** Tells whether it is in service, though it may be silent for the moment. */
    boolean isInService() {
        return !leaving && !zoneOut;
    }

    boolean isUsable(long nowNanos) {
        return isInService() && !silent && nowNanos >= blockedUntil;
    }

    // -- state

    void connected() {
        silent = false;
        grants = 0;
        open = 0;
        announced = 0;
        announcedAt = Long.MIN_VALUE;
    }

    void leaving(boolean newLeaving) {
        leaving = newLeaving;
    }

    void zoneOut(boolean out) {
        zoneOut = out;
    }

    void silent() {
        silent = true;
        grants = 0;
    }

    void blockUntil(long untilNanos) {
        blockedUntil = untilNanos;
    }

    // -- grants

    void grant(int slots) {
        grants += slots;
        announced = Math.max(0, announced - slots);
    }

    void useGrant() {
        Invariant.GRANT_OVERDRAWN.check(grants > 0, info);
        grants--;
        useOpen();
    }

    void open(long nowNanos, int slots) {
        open = slots;
        openSince = nowNanos;
    }

    void useOpen() {
        open = Math.max(0, open - 1);
    }

    int giveBack(int slots) {
        int returned = Math.min(slots, grants);
        grants -= returned;
        return returned;
    }

    /** Tells whether the agent should hear of the wanted slots before the next heartbeat. */
    boolean shouldAnnounce(long nowNanos, int wanted, long intervalNanos) {
        return wanted > 0 && (announced == 0 || announcedAt < nowNanos - intervalNanos);
    }

    /** Tells whether the agent was asked for slots that it has not granted. */
    boolean isAsked() {
        return announced > 0 && !silent;
    }

    /** Tells whether nothing waits for any of its services. */
    boolean wantsNothing() {
        return members.values().stream()
                .allMatch(member -> member.pool().queue().isEmpty());
    }

    void withdrawn() {
        announced = 0;
    }

    void announced(long nowNanos, int wanted) {
        announced = wanted;
        announcedAt = nowNanos;
    }

    // -- attempts

    void opened(Attempt attempt) {
        Object previous = attempts.put(attempt.number(), attempt);
        Invariant.NUMBER_REUSED.check(previous == null, attempt.number());
    }

    void closed(Attempt attempt) {
        attempts.remove(attempt.number());
    }

    long[] numbers() {
        return attempts.values().stream().mapToLong(Attempt::number).toArray();
    }
}
