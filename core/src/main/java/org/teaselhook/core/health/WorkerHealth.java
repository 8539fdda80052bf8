package org.teaselhook.core.health;

/**
 * Outlier detection for one worker and one service, based on its recent failure rate and speed. A worker that fails
 * much more often than its peers, or is much slower, is ejected and receives only probes. After successful probes it is
 * readmitted with a limit on its tasks that rises step by step.
 *
 * <pre>{@code
 * health.recordFailure(now);
 * if (health.state() == HealthState.EJECTED && health.isProbeDue(now)) { ... }
 * }</pre>
 */
public final class WorkerHealth {

    private static final double SMOOTHING_FACTOR = 0.2;
    private static final int MIN_SAMPLES = 4;
    private static final double EJECTION_FAILURE_RATE = 0.5;
    private static final double EJECTION_PEER_FACTOR = 3;
    private static final double EJECTION_SLOWNESS = Math.log(2.5);
    private static final double TYPICAL_SLOWNESS = Math.log(1.7);
    private static final long MIN_PROBE_INTERVAL_NANOS = 500_000_000L;
    private static final long MAX_PROBE_INTERVAL_NANOS = 4_000_000_000L;
    private static final int PROBES_TO_READMIT = 2;
    private static final int INITIAL_LIMIT = 2;

    private final PeerGroup peers;
    private final int slots;
    private HealthState state = HealthState.NORMAL;
    private double failureRate;
    private double slowness;
    private int samples;
    private int limit;
    private int successfulProbes;
    private long probeIntervalNanos = MIN_PROBE_INTERVAL_NANOS;
    private long nextProbeNanos;
    private boolean removed;

    private WorkerHealth(PeerGroup peers, int slots) {
        this.peers = peers;
        this.slots = slots;
    }

    // -- factories

    /**
     * Adds a worker in state {@link HealthState#NORMAL} to a group.
     *
     * @param peers the group
     * @param slots the number of the worker's slots
     * @return the worker's health
     */
    public static WorkerHealth join(PeerGroup peers, int slots) {
        peers.changeSize(1);
        return new WorkerHealth(peers, slots);
    }

    // -- accessors

    /**
     * Returns the current state.
     *
     * @return the state
     */
    public HealthState state() {
        return state;
    }

    /**
     * Tells whether the worker may receive one more task other than a probe.
     *
     * @param running the number of tasks in progress that this entry has dispatched to the worker
     * @return true if it may
     */
    public boolean accepts(int running) {
        return running < limit();
    }

    /**
     * Tells whether a probe may be sent now.
     *
     * @param nowNanos the current time
     * @return true if the worker is ejected and the probe interval has elapsed
     */
    public boolean isProbeDue(long nowNanos) {
        return state == HealthState.EJECTED && nowNanos >= nextProbeNanos;
    }

    /**
     * Tells whether the worker's run times reflect the tasks rather than the worker.
     *
     * @return true if the worker is about as fast as its peers
     */
    public boolean isTypical() {
        return state != HealthState.EJECTED && slowness - peers.meanSlownessWithout(slowness) < TYPICAL_SLOWNESS;
    }

    private int limit() {
        return switch (state) {
            case NORMAL -> slots;
            case RAMPING -> limit;
            case EJECTED -> 0;
        };
    }

    // -- updates

    /**
     * Records a success.
     *
     * @param nowNanos the current time
     * @param ratio the run time divided by the typical run time of the kind
     */
    public void recordSuccess(long nowNanos, double ratio) {
        if (removed) {
            return;
        }
        double logRatio = Math.log(Math.max(ratio, 1e-3));
        if (state == HealthState.EJECTED) {
            recordProbeResult(nowNanos, logRatio - peers.meanSlownessWithout(0) < TYPICAL_SLOWNESS);
            return;
        }
        observe(0, logRatio);
        if (state == HealthState.RAMPING) {
            raiseLimit();
        }
        ejectIfOutlier(nowNanos);
    }

    /**
     * Records a failure that the worker caused or may have caused.
     *
     * @param nowNanos the current time
     */
    public void recordFailure(long nowNanos) {
        if (removed) {
            return;
        }
        if (state == HealthState.EJECTED) {
            recordProbeResult(nowNanos, false);
            return;
        }
        observe(1, slowness);
        ejectIfOutlier(nowNanos);
    }

    /**
     * Records that a task in progress is taking unusually long.
     *
     * @param nowNanos the current time
     * @param ratio the elapsed time divided by the typical run time of the kind
     */
    public void recordOverdue(long nowNanos, double ratio) {
        if (removed || state == HealthState.EJECTED) {
            return;
        }
        observe(0, Math.log(Math.max(ratio, 1)));
        ejectIfOutlier(nowNanos);
    }

    /**
     * Records that a probe was sent.
     *
     * @param nowNanos the current time
     */
    public void recordProbeSent(long nowNanos) {
        nextProbeNanos = nowNanos + probeIntervalNanos;
    }

    /** Starts to raise the worker's task limit step by step, as after its availability zone returned to service. */
    public void startRampUp() {
        if (state == HealthState.EJECTED) {
            peers.changeEjected(-1);
            peers.change(failureRate, slowness);
        }
        resetObservations();
        state = HealthState.RAMPING;
        limit = Math.min(slots, INITIAL_LIMIT);
    }

    /** Removes the worker from its group; later observations are ignored. */
    public void leave() {
        removed = true;
        peers.changeSize(-1);
        if (state == HealthState.EJECTED) {
            peers.changeEjected(-1);
        } else {
            peers.change(-failureRate, -slowness);
        }
    }

    // -- transitions

    private void observe(double failure, double logRatio) {
        double failureRateChange = SMOOTHING_FACTOR * (failure - failureRate);
        double slownessChange = SMOOTHING_FACTOR * (logRatio - slowness);
        failureRate += failureRateChange;
        slowness += slownessChange;
        samples++;
        peers.change(failureRateChange, slownessChange);
    }

    private void resetObservations() {
        peers.change(-failureRate, -slowness);
        failureRate = 0;
        slowness = 0;
        samples = 0;
    }

    private void raiseLimit() {
        limit++;
        if (limit >= slots) {
            state = HealthState.NORMAL;
            probeIntervalNanos = MIN_PROBE_INTERVAL_NANOS;
        }
    }

    private void ejectIfOutlier(long nowNanos) {
        if (samples < MIN_SAMPLES || !peers.canEject() || !isOutlier()) {
            return;
        }
        state = HealthState.EJECTED;
        successfulProbes = 0;
        nextProbeNanos = nowNanos + probeIntervalNanos;
        peers.changeEjected(1);
        peers.change(-failureRate, -slowness);
    }

    private boolean isOutlier() {
        double peerFailureRate = peers.meanFailureRateWithout(failureRate);
        boolean failing = failureRate >= EJECTION_FAILURE_RATE && failureRate > EJECTION_PEER_FACTOR * peerFailureRate;
        return failing || slowness - peers.meanSlownessWithout(slowness) > EJECTION_SLOWNESS;
    }

    private void recordProbeResult(long nowNanos, boolean successful) {
        if (!successful) {
            successfulProbes = 0;
            probeIntervalNanos = Math.min(MAX_PROBE_INTERVAL_NANOS, 2 * probeIntervalNanos);
            nextProbeNanos = nowNanos + probeIntervalNanos;
            return;
        }
        successfulProbes++;
        nextProbeNanos = nowNanos;
        if (successfulProbes >= PROBES_TO_READMIT) {
            startRampUp();
        }
    }
}
