package org.teaselhook.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.agrona.collections.Long2ObjectHashMap;

/**
 * A worker as last reported by its agent. Takes memory in proportion to its orders in progress.
 */
final class Worker {

    private final AgentInfo info;
    private final boolean inSameZone;
    private final Map<String, PoolMember> members = new HashMap<>();
    private final Long2ObjectHashMap<Attempt> attempts = new Long2ObjectHashMap<>();
    private boolean leaving;
    private boolean unresponsive;
    private boolean zoneOut;
    private long blockedUntil = Long.MIN_VALUE;
    private int grants;
    private int openSlots;
    private long openSlotsReportedAt;
    private int requestedSlots;
    private long requestedAt = Long.MIN_VALUE;

    Worker(AgentInfo info, boolean inSameZone) {
        this.info = info;
        this.inSameZone = inSameZone;
    }

    // -- accessors

    AgentInfo info() {
        return info;
    }

    boolean isInSameZone() {
        return inSameZone;
    }

    Map<String, PoolMember> members() {
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

    /** Returns the number of slots that orders without a grant would probably get. */
    int openSlots() {
        return Math.max(0, openSlots - grants);
    }

    /** Returns when the agent last reported its open slots. */
    long openSlotsReportedAt() {
        return openSlotsReportedAt;
    }

    boolean isZoneOut() {
        return zoneOut;
    }

    boolean isUnresponsive() {
        return unresponsive;
    }

    /** Tells whether the worker is in service, even if it is unresponsive at present. */
    boolean isInService() {
        return !leaving && !zoneOut;
    }

    boolean isUsable(long nowNanos) {
        return isInService() && !unresponsive && nowNanos >= blockedUntil;
    }

    // -- state

    void connected() {
        unresponsive = false;
        grants = 0;
        openSlots = 0;
        requestedSlots = 0;
        requestedAt = Long.MIN_VALUE;
    }

    void leaving(boolean newLeaving) {
        leaving = newLeaving;
    }

    void zoneOut(boolean out) {
        zoneOut = out;
    }

    void markUnresponsive() {
        unresponsive = true;
        grants = 0;
    }

    void blockUntil(long untilNanos) {
        blockedUntil = untilNanos;
    }

    // -- grants

    void addGrants(int slots) {
        grants += slots;
        requestedSlots = Math.max(0, requestedSlots - slots);
    }

    void useGrant() {
        Invariant.GRANT_OVERDRAWN.check(grants > 0, info);
        grants--;
        useOpenSlot();
    }

    void openSlotsReported(long nowNanos, int slots) {
        openSlots = slots;
        openSlotsReportedAt = nowNanos;
    }

    void useOpenSlot() {
        openSlots = Math.max(0, openSlots - 1);
    }

    int releaseGrants(int slots) {
        int returned = Math.min(slots, grants);
        grants -= returned;
        return returned;
    }

    /** Tells whether the wanted slots should be requested before the next heartbeat. */
    boolean shouldRequest(long nowNanos, int wanted, long intervalNanos) {
        return wanted > 0 && (requestedSlots == 0 || requestedAt < nowNanos - intervalNanos);
    }

    /** Tells whether slots are requested from the agent that it has not granted yet. */
    boolean hasPendingRequest() {
        return requestedSlots > 0 && !unresponsive;
    }

    /** Tells whether no task is queued for any of the worker's services. */
    boolean hasNoQueuedTasks() {
        return members.values().stream()
                .allMatch(member -> member.pool().queue().isEmpty());
    }

    void requestWithdrawn() {
        requestedSlots = 0;
    }

    void slotsRequested(long nowNanos, int wanted) {
        requestedSlots = wanted;
        requestedAt = nowNanos;
    }

    // -- attempts

    void attemptStarted(Attempt attempt) {
        Object previous = attempts.put(attempt.number(), attempt);
        Invariant.NUMBER_REUSED.check(previous == null, attempt.number());
    }

    void attemptEnded(Attempt attempt) {
        attempts.remove(attempt.number());
    }

    long[] attemptNumbers() {
        return attempts.values().stream().mapToLong(Attempt::number).toArray();
    }
}
