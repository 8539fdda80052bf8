package org.teaselhook.core.job;

import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.amount.ResourceAmounts;
import org.teaselhook.core.id.Incarnation;

/**
 * A worker as known to this entry: the latest report of its agent, the orders sent since, and its recent performance.
 */
final class WorkerRecord {

    /** Weight of the newest run in the average of a worker's slowness. */
    private static final double SLOWNESS_WEIGHT = 0.25;

    /** Time constant of the average of the pace that agents report, in ns: several heartbeats. */
    private static final double PACE_AVERAGING_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Time constant of the decay of the slowness, so that a recovered worker is tried again, in ns. */
    private static final double SLOWNESS_DECAY_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** The greatest slowness recorded, so that a worker is tried again within seconds after its last slow run. */
    private static final double MAX_SLOWNESS = 5;

    /** Consecutive failures after which a worker is avoided; a single one may be caused by the task. */
    private static final int FAILURE_THRESHOLD = 2;

    /** How long a failing worker is avoided at first, in ns: the time of a few tasks; doubles with each failure. */
    private static final long FIRST_AVOIDED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The greatest number of doublings, to 4 s, so that a recovered worker is used again within seconds. */
    private static final int MAX_DOUBLINGS = 3;

    private final Incarnation agent;
    private final String name;
    private final String zone;
    private final TreeMap<Long, Placement> placements = new TreeMap<>();
    private WorkerView view = WorkerView.CLOSED;
    private ResourceAmounts orderedSinceReport = ResourceAmounts.NONE;
    private long placedCpuMillis;
    private boolean full;
    private ResourceAmounts free = ResourceAmounts.NONE;
    private boolean connected;
    private boolean preferred;
    private long lastReportAt;
    private double slowness = 1;
    private long slownessAt;
    private int consecutiveFailures;
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

    /** Whether this entry prefers it to other workers. */
    boolean isPreferred() {
        return preferred;
    }

    long lastReportAt() {
        return lastReportAt;
    }

    TreeMap<Long, Placement> placements() {
        return placements;
    }

    /** Whether it is connected and open for the service; it may have no free capacity. */
    boolean serves(String service) {
        return connected && !service.isEmpty() && view.service().equals(service);
    }

    boolean isAvoided(long nowNanos) {
        return avoidedUntil != Long.MIN_VALUE && nowNanos - avoidedUntil < 0;
    }

    /** Returns the free capacity that a new order is expected to find. */
    ResourceAmounts free() {
        return free;
    }

    /** Returns the CPU of this entry's orders in progress, in thousandths of a core. */
    long placedCpuMillis() {
        return placedCpuMillis;
    }

    /** Returns the CPU that is in use or ordered by this entry since, in thousandths of a core. */
    long usedCpuMillis() {
        return view.used().cpuMillis() + orderedSinceReport.cpuMillis();
    }

    /** Returns the ratio of run times here to those on a normal worker; 1 for a normal one. */
    double slowness(long nowNanos) {
        if (slowness == 1) {
            return 1;
        }
        double oldWeight = Math.exp(-(nowNanos - slownessAt) / SLOWNESS_DECAY_NANOS);
        return 1 + (slowness - 1) * oldWeight;
    }

    // -- updates

    void connected(long nowNanos) {
        connected = true;
        lastReportAt = nowNanos;
    }

    void preferred(boolean newPreferred) {
        preferred = newPreferred;
    }

    void disconnected(long lastContactAt) {
        connected = false;
        lastReportAt = Math.max(lastReportAt, lastContactAt);
        view = WorkerView.CLOSED;
        updateFree();
    }

    void reported(long nowNanos, WorkerView newView) {
        updateSlowness(nowNanos, newView.pace());
        lastReportAt = nowNanos;
        view = newView;
        full = false;
        orderedSinceReport = placements.tailMap(newView.lastSeenOrder(), false).values().stream()
                .map(Placement::amounts)
                .reduce(ResourceAmounts.NONE, ResourceAmounts::plus);
        updateFree();
    }

    void placed(Placement placement) {
        placements.put(placement.number(), placement);
        placedCpuMillis += placement.amounts().cpuMillis();
        orderedSinceReport = orderedSinceReport.plus(placement.amounts());
        updateFree();
    }

    void removed(Placement placement) {
        placements.remove(placement.number());
        placedCpuMillis -= placement.amounts().cpuMillis();
        if (placement.number() > view.lastSeenOrder()) {
            orderedSinceReport = orderedSinceReport.minus(placement.amounts());
            updateFree();
        }
    }

    void markFull() {
        full = true;
        updateFree();
    }

    /** Computed on each change, as the free capacity is read far more often. */
    private void updateFree() {
        free = full ? ResourceAmounts.NONE : view.capacity().minus(view.used()).minus(orderedSinceReport);
    }

    void avoid(long untilNanos) {
        avoidedUntil = untilNanos;
    }

    void runCompleted(long nowNanos, double ratio) {
        consecutiveFailures = 0;
        double bounded = Math.min(ratio, MAX_SLOWNESS);
        slowness = slowness(nowNanos) * (1 - SLOWNESS_WEIGHT) + bounded * SLOWNESS_WEIGHT;
        slownessAt = nowNanos;
    }

    /** Averages the reported pace into the slowness, so that a single outlier has little effect. */
    private void updateSlowness(long nowNanos, double pace) {
        if (pace > 0) {
            double oldWeight = Math.exp(-(nowNanos - lastReportAt) / PACE_AVERAGING_NANOS);
            slowness = slowness(nowNanos) * oldWeight + Math.min(pace, MAX_SLOWNESS) * (1 - oldWeight);
            slownessAt = nowNanos;
        }
    }

    /** Records a failed run. Returns true if the worker is now avoided. */
    boolean runFailed(long nowNanos) {
        consecutiveFailures++;
        int excess = consecutiveFailures - FAILURE_THRESHOLD;
        if (excess < 0) {
            return false;
        }
        avoid(nowNanos + (FIRST_AVOIDED_NANOS << Math.min(MAX_DOUBLINGS, excess)));
        return true;
    }
}
