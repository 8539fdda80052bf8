package org.teaselhook.core.health;

/**
 * The recent successes and speed of one worker for one service. A worker that fails much more often than its peers, or
 * is much slower, is ejected: it gets probes only. Successful probes let it return step by step.
 *
 * <pre>{@code
 * health.failed(now);
 * if (health.state() == HealthState.EJECTED && health.isProbeDue(now)) { ... }
 * }</pre>
 */
public final class WorkerHealth {

    private static final double NEWEST_SHARE = 0.2;
    private static final int LEAST_SAMPLES = 4;
    private static final double EJECT_FAILURES = 0.5;
    private static final double FAILURES_TO_PEERS = 3;
    private static final double EJECT_SLOWNESS = Math.log(2.5);
    private static final double FIT_SLOWNESS = Math.log(1.7);
    private static final long FIRST_PROBE_NANOS = 500_000_000L;
    private static final long LONGEST_PROBE_NANOS = 4_000_000_000L;
    private static final int PROBES_TO_RETURN = 2;
    private static final int FIRST_LIMIT = 2;

    private final PeerGroup peers;
    private final int slots;
    private HealthState state = HealthState.NORMAL;
    private double failures;
    private double slowness;
    private int samples;
    private int limit;
    private int goodProbes;
    private long probeInterval = FIRST_PROBE_NANOS;
    private long nextProbeAt;
    private boolean left;

    private WorkerHealth(PeerGroup peers, int slots) {
        this.peers = peers;
        this.slots = slots;
    }

    // -- factories

    /**
     * Adds a worker to a group, in normal state.
     *
     * @param peers the group
     * @param slots the worker's slots
     * @return its health
     */
    public static WorkerHealth join(PeerGroup peers, int slots) {
        peers.changeSize(1);
        return new WorkerHealth(peers, slots);
    }

    // -- accessors

    /**
     * Returns the state.
     *
     * @return the state
     */
    public HealthState state() {
        return state;
    }

    /**
     * Tells whether one more task may go to the worker, probes aside.
     *
     * @param running the tasks in progress there by this entry's orders
     * @return true if it may
     */
    public boolean accepts(int running) {
        return running < limit();
    }

    /**
     * Tells whether a probe may be sent now.
     *
     * @param nowNanos the present time
     * @return true if the worker is ejected and the interval has passed
     */
    public boolean isProbeDue(long nowNanos) {
        return state == HealthState.EJECTED && nowNanos >= nextProbeAt;
    }

    /**
     * Tells whether the worker's run times say something about the tasks and not about the worker.
     *
     * @return true if it is about as fast as its peers
     */
    public boolean isTypical() {
        return state != HealthState.EJECTED && slowness - peers.slownessWithout(slowness) < FIT_SLOWNESS;
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
     * Notes a success.
     *
     * @param nowNanos the present time
     * @param ratio the run time over the typical run time of the kind
     */
    public void succeeded(long nowNanos, double ratio) {
        if (left) {
            return;
        }
        double logRatio = Math.log(Math.max(ratio, 1e-3));
        if (state == HealthState.EJECTED) {
            probed(nowNanos, logRatio - peers.slownessWithout(0) < FIT_SLOWNESS);
            return;
        }
        observe(0, logRatio);
        if (state == HealthState.RAMPING) {
            rise();
        }
        ejectIfUnfit(nowNanos);
    }

    /**
     * Notes a failure that is the worker's own or may be.
     *
     * @param nowNanos the present time
     */
    public void failed(long nowNanos) {
        if (left) {
            return;
        }
        if (state == HealthState.EJECTED) {
            probed(nowNanos, false);
            return;
        }
        observe(1, slowness);
        ejectIfUnfit(nowNanos);
    }

    /**
     * Notes that a task takes unusually long, before it has ended.
     *
     * @param nowNanos the present time
     * @param ratio the time so far over the typical run time of the kind
     */
    public void late(long nowNanos, double ratio) {
        if (left || state == HealthState.EJECTED) {
            return;
        }
        observe(0, Math.log(Math.max(ratio, 1)));
        ejectIfUnfit(nowNanos);
    }

    /**
     * Notes that a probe was sent.
     *
     * @param nowNanos the present time
     */
    public void probeSent(long nowNanos) {
        nextProbeAt = nowNanos + probeInterval;
    }

    /** Lets the worker return step by step, as after its availability zone came back into service. */
    public void ramp() {
        if (state == HealthState.EJECTED) {
            peers.changeEjected(-1);
            peers.change(failures, slowness);
        }
        observeAfresh();
        state = HealthState.RAMPING;
        limit = Math.min(slots, FIRST_LIMIT);
    }

    /** Removes the worker from its group; later observations are ignored. */
    public void leave() {
        left = true;
        peers.changeSize(-1);
        if (state == HealthState.EJECTED) {
            peers.changeEjected(-1);
        } else {
            peers.change(-failures, -slowness);
        }
    }

    // -- steps

    private void observe(double failure, double logRatio) {
        double failureChange = NEWEST_SHARE * (failure - failures);
        double slownessChange = NEWEST_SHARE * (logRatio - slowness);
        failures += failureChange;
        slowness += slownessChange;
        samples++;
        peers.change(failureChange, slownessChange);
    }

    private void observeAfresh() {
        peers.change(-failures, -slowness);
        failures = 0;
        slowness = 0;
        samples = 0;
    }

    private void rise() {
        limit++;
        if (limit >= slots) {
            state = HealthState.NORMAL;
            probeInterval = FIRST_PROBE_NANOS;
        }
    }

    private void ejectIfUnfit(long nowNanos) {
        if (samples < LEAST_SAMPLES || !peers.canEject() || !isUnfit()) {
            return;
        }
        state = HealthState.EJECTED;
        goodProbes = 0;
        nextProbeAt = nowNanos + probeInterval;
        peers.changeEjected(1);
        peers.change(-failures, -slowness);
    }

    private boolean isUnfit() {
        double peerFailures = peers.failuresWithout(failures);
        boolean failing = failures >= EJECT_FAILURES && failures > FAILURES_TO_PEERS * peerFailures;
        return failing || slowness - peers.slownessWithout(slowness) > EJECT_SLOWNESS;
    }

    private void probed(long nowNanos, boolean good) {
        if (!good) {
            goodProbes = 0;
            probeInterval = Math.min(LONGEST_PROBE_NANOS, 2 * probeInterval);
            nextProbeAt = nowNanos + probeInterval;
            return;
        }
        goodProbes++;
        nextProbeAt = nowNanos;
        if (goodProbes >= PROBES_TO_RETURN) {
            ramp();
        }
    }
}
