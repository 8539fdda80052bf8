package org.teaselhook.core.config;

/**
 * Decides whether an entry's configuration is recent enough to start work. Confined to one thread.
 *
 * <p>The configuration is confirmed by a read of the table service or by word from a peer, either of which must name
 * no version newer than the one held. A confirmation counts as of an instant on this process's own clock at which the
 * statement cannot yet have been made: for a read the time at which the request was sent, for a peer the time at which
 * this entry sent the heartbeat that the peer's frame echoes. So an answer that lay in a buffer, or a process that
 * was frozen, makes nothing look recent.
 *
 * <p>A process that has just started may serve only after it has read the table service. While that is out of order it
 * may take the newest version among its peers instead, once it has listened to them for {@link #LISTEN_NANOS}.
 *
 * <p>All times are nanoseconds of this process's monotonic clock.
 */
public final class Freshness {

    /** How long a confirmation lasts. */
    public static final long FRESH_NANOS = 3_000_000_000L;

    /** How long a process that starts during an outage listens to its peers before it relies on them. */
    public static final long LISTEN_NANOS = 2_000_000_000L;

    private final long startedNanos;
    private boolean tableRead;
    private boolean peerHeard;
    private boolean tableFailed;
    private boolean confirmed;
    private long confirmedNanos;

    private Freshness(long startedNanos) {
        this.startedNanos = startedNanos;
    }

    // -- factories

    /**
     * Returns the state of a process that has just started.
     *
     * @param nowNanos the present time
     * @return a new state
     */
    public static Freshness startedAt(long nowNanos) {
        return new Freshness(nowNanos);
    }

    // -- events

    /**
     * Notes a read of the table service that named a version.
     *
     * @param state the configuration held, after the version's text was offered to it
     * @param version the version that the table service named
     * @param sentNanos when the read was sent
     */
    public void tableRead(ConfigState state, ConfigVersion version, long sentNanos) {
        if (confirm(state, version, sentNanos)) {
            tableRead = true;
        }
    }

    /** Notes that a read of the table service failed. */
    public void tableFailed() {
        tableFailed = true;
    }

    /**
     * Notes word from a peer.
     *
     * @param state the configuration held
     * @param version the version that the peer holds
     * @param asOfNanos an instant not after the one at which the peer said so
     */
    public void peerHeard(ConfigState state, ConfigVersion version, long asOfNanos) {
        if (!version.equals(ConfigVersion.NONE)) {
            peerHeard = confirm(state, version, asOfNanos);
        }
    }

    // -- decisions

    /**
     * Decides whether work may start.
     *
     * @param nowNanos the present time
     * @return the verdict
     */
    public FreshnessVerdict verdict(long nowNanos) {
        if (!tableRead && !isLoadedFromPeers(nowNanos)) {
            return FreshnessVerdict.NEVER_LOADED;
        }
        return nowNanos - freshUntilNanos() <= 0 ? FreshnessVerdict.FRESH : FreshnessVerdict.STALE;
    }

    /**
     * Decides whether work may start.
     *
     * @param nowNanos the present time
     * @return true if it may
     */
    public boolean mayStart(long nowNanos) {
        return verdict(nowNanos).mayStart();
    }

    /**
     * Returns the instant up to which work may start by what is confirmed now. A start-by time that is never later
     * keeps work from starting by a configuration that was replaced {@link #FRESH_NANOS} ago.
     *
     * @return the last instant; without meaning unless the verdict is fresh
     */
    public long freshUntilNanos() {
        return confirmedNanos + FRESH_NANOS;
    }

    private boolean isLoadedFromPeers(long nowNanos) {
        return tableFailed && peerHeard && nowNanos - startedNanos >= LISTEN_NANOS;
    }

    private boolean confirm(ConfigState state, ConfigVersion version, long asOfNanos) {
        state.heard(version);
        if (state.isBehind()) {
            return false;
        }
        if (!confirmed || asOfNanos - confirmedNanos > 0) {
            confirmedNanos = asOfNanos;
        }
        confirmed = true;
        return true;
    }
}
