package org.teaselhook.core.job;

import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.amount.Amounts;
import org.teaselhook.core.id.Incarnation;

/**
 * A worker as this entry knows it: its agent's word, less what was ordered since, and how it has done of late.
 */
final class WorkerRecord {

    /** Weight of the newest run in the average of a worker's slowness. */
    private static final double SLOWNESS_WEIGHT = 0.25;

    /** Over how long the pace that agents tell is averaged, in ns: several heartbeats. */
    private static final double PACE_MEMORY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** How fast an old impression fades, so that a recovered worker is tried again, in ns. */
    private static final double SLOWNESS_FADE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** The greatest slowness noted, so that a worker is tried again within some seconds of its last late run. */
    private static final double MAX_SLOWNESS = 5;

    /** Failed runs in a row after which a worker is avoided; one alone may be the task's own fault. */
    private static final int FAILURES_IN_A_ROW = 2;

    /** How long a failing worker is avoided at first, in ns: some tasks; doubled with each failure after that. */
    private static final long MIN_AVOIDED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The greatest number of doublings: 4 s, so that a recovered worker is missed for seconds only. */
    private static final int MAX_DOUBLINGS = 3;

    private final Incarnation agent;
    private final String name;
    private final String zone;
    private final TreeMap<Long, Placement> placements = new TreeMap<>();
    private WorkerView view = WorkerView.CLOSED;
    private Amounts unseen = Amounts.NONE;
    private boolean full;
    private Amounts free = Amounts.NONE;
    private boolean connected;
    private boolean home;
    private long heardAt;
    private double slowness = 1;
    private long slownessAt;
    private int failuresInARow;
    private long avoidedUntil = Long.MIN_VALUE;

    WorkerRecord(Incarnation agent, String name, String zone) {
        this.agent = agent;
        this.name = name;
        this.zone = zone;
    }

    // -- accessors

    Incarnation agent() {
        return agent;
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    WorkerView view() {
        return view;
    }

    boolean isConnected() {
        return connected;
    }

    /** Whether this entry turns to it first. */
    boolean isHome() {
        return home;
    }

    long heardAt() {
        return heardAt;
    }

    TreeMap<Long, Placement> placements() {
        return placements;
    }

    /** Whether it serves, though perhaps it has no room now. */
    boolean serves(String service) {
        return connected && !service.isEmpty() && view.service().equals(service);
    }

    boolean isAvoided(long nowNanos) {
        return avoidedUntil != Long.MIN_VALUE && nowNanos - avoidedUntil < 0;
    }

    /** Returns what an order would probably find free. */
    Amounts free() {
        return free;
    }

    /** Returns how much longer runs take here than on the usual worker; 1 for the usual one. */
    double slowness(long nowNanos) {
        double kept = Math.exp(-(nowNanos - slownessAt) / SLOWNESS_FADE_NANOS);
        return 1 + (slowness - 1) * kept;
    }

    // -- updates

    void connected(long nowNanos) {
        connected = true;
        heardAt = nowNanos;
    }

    void home(boolean own) {
        home = own;
    }

    void disconnected() {
        connected = false;
        view = WorkerView.CLOSED;
        noteFree();
    }

    void heard(long nowNanos, WorkerView newView) {
        notePace(nowNanos, newView.pace());
        heardAt = nowNanos;
        view = newView;
        full = false;
        unseen = placements.tailMap(newView.seenOrder(), false).values().stream()
                .map(Placement::amounts)
                .reduce(Amounts.NONE, Amounts::plus);
        noteFree();
    }

    void placed(Placement placement) {
        placements.put(placement.number(), placement);
        unseen = unseen.plus(placement.amounts());
        noteFree();
    }

    void removed(Placement placement) {
        placements.remove(placement.number());
        if (placement.number() > view.seenOrder()) {
            unseen = unseen.minus(placement.amounts());
            noteFree();
        }
    }

    void full() {
        full = true;
        noteFree();
    }

    /** Works out what is free when something has changed, as it is asked for far more often. */
    private void noteFree() {
        free = full ? Amounts.NONE : view.capacity().minus(view.used()).minus(unseen);
    }

    void avoid(long untilNanos) {
        avoidedUntil = untilNanos;
    }

    void ran(long nowNanos, double ratio) {
        failuresInARow = 0;
        double bounded = Math.min(ratio, MAX_SLOWNESS);
        slowness = slowness(nowNanos) * (1 - SLOWNESS_WEIGHT) + bounded * SLOWNESS_WEIGHT;
        slownessAt = nowNanos;
    }

    /** Follows the pace that the agent tells, so that one odd report does not decide. */
    private void notePace(long nowNanos, double pace) {
        if (pace > 0) {
            double kept = Math.exp(-(nowNanos - heardAt) / PACE_MEMORY_NANOS);
            slowness = slowness(nowNanos) * kept + Math.min(pace, MAX_SLOWNESS) * (1 - kept);
            slownessAt = nowNanos;
        }
    }

    /** Notes a failed run, and tells whether the worker is avoided from now on. */
    boolean failed(long nowNanos) {
        failuresInARow++;
        int beyond = failuresInARow - FAILURES_IN_A_ROW;
        if (beyond < 0) {
            return false;
        }
        avoid(nowNanos + (MIN_AVOIDED_NANOS << Math.min(MAX_DOUBLINGS, beyond)));
        return true;
    }
}
