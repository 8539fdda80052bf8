package org.teaselhook.core.route;

import java.util.concurrent.TimeUnit;

/**
 * Decides when an entry asks an agent for the operators' decisions. Answers a store that turns some entries away, or
 * that some cannot reach: agents have heard of newer decisions from the others. An entry that reads the store itself
 * has the change as soon as anybody, so it asks only after a moment, and asks one agent at a time. Confined to one
 * thread.
 */
public final class RouteGap {

    /** How long an entry waits for the store's word before it asks, and for an answer before it asks another, in ns. */
    private static final long PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** The greatest number of doublings of that time: the only process that held a version may be gone. */
    private static final int MAX_DOUBLINGS = 5;

    private long caughtUp;
    private boolean behind;
    private int asked;
    private long askAt;

    private RouteGap() {}

    /**
     * Returns the state of an entry that has heard of nothing.
     *
     * @return a new state
     */
    public static RouteGap none() {
        return new RouteGap();
    }

    /**
     * Takes the version that an agent has heard of, and tells whether to ask that agent now.
     *
     * @param nowNanos the present time
     * @param held what the entry holds
     * @param heard the agent's version
     * @return true if the agent is to be asked; another is asked when this one has had time to answer
     */
    public boolean shouldAsk(long nowNanos, Routes held, long heard) {
        if (heard <= Math.max(held.version(), caughtUp)) {
            return false;
        }
        if (!behind) {
            behind = true;
            asked = 0;
            askAt = held.isKnown() ? nowNanos + PATIENCE_NANOS : nowNanos;
        }
        if (nowNanos - askAt < 0) {
            return false;
        }
        askAt = nowNanos + (PATIENCE_NANOS << Math.min(MAX_DOUBLINGS, asked));
        asked++;
        return true;
    }

    /**
     * Notes decisions that were read or received. Those of a later version may say the same as what is held.
     *
     * @param version their version
     */
    public void received(long version) {
        caughtUp = Math.max(caughtUp, version);
        behind = false;
    }
}
