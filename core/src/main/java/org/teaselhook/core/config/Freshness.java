package org.teaselhook.core.config;

import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;

import org.teaselhook.core.id.Incarnation;

/**
 * Decides whether the configuration of an entry is recent enough to start work. Confined to one thread.
 *
 * <p>A confirmation is an instant as of which no version newer than the current one had been accepted. It is valid for
 * {@link #CONFIRMATION_VALID_NANOS} and comes from one of three sources:
 * <ul>
 *   <li>a read of the table service, as of the time at which the read was sent;
 *   <li>a peer that forwards its own confirmation with its age, as of the time at which this entry sent the heartbeat
 *       that the peer's frame echoes, minus that age, so forwarding along a chain of peers does not extend the 3 s;
 *   <li>during an outage of the table service, reports from all other entries that may have accepted a change, as of
 *       the oldest of these reports: see {@link EntryQuorum}.
 * </ul>
 * Because of these reference times, neither a buffered answer nor a suspended process makes a configuration appear
 * recent.
 *
 * <p>A process that has just started may serve only after it has read the table service. While the table service is
 * unavailable, the process may rely on its peers instead, once {@link #PEER_OBSERVATION_NANOS} have passed since its
 * start.
 *
 * <p>All times are nanoseconds of this process's monotonic clock.
 */
public final class Freshness {

    /** The time for which a confirmation is valid. */
    public static final long CONFIRMATION_VALID_NANOS = 3_000_000_000L;

    /** The time for which a process that starts during an outage collects peer reports before it relies on them. */
    public static final long PEER_OBSERVATION_NANOS = 2_000_000_000L;

    private final long startedNanos;
    private final EntryQuorum quorum;
    private boolean tableRead;
    private boolean loadedFromPeer;
    private boolean tableFailed;
    private boolean tableFailing;
    private boolean confirmed;
    private long confirmedAsOfNanos;

    private Freshness(String self, long startedNanos) {
        this.quorum = new EntryQuorum(self);
        this.startedNanos = startedNanos;
    }

    // -- factories

    /**
     * Returns the state of a process that has just started.
     *
     * @param self the name of this entry
     * @param nowNanos the current time
     * @return a new state
     */
    public static Freshness startedAt(String self, long nowNanos) {
        return new Freshness(self, nowNanos);
    }

    // -- updates

    /**
     * Records a read of the table service that returned a version.
     *
     * @param state the configuration state, after the version's text was offered to it
     * @param version the version that the table service returned
     * @param sentNanos when the read was sent
     */
    public void tableRead(ConfigState state, ConfigVersion version, long sentNanos) {
        tableFailing = false;
        state.noteVersion(version);
        if (confirm(state, sentNanos)) {
            tableRead = true;
        }
    }

    /** Records that a read of the table service failed. */
    public void tableFailed() {
        tableFailed = true;
        tableFailing = true;
    }

    /**
     * Records which entries the table service lists as live.
     *
     * @param live the entries, this one among them
     * @param sentNanos when the scan was sent
     */
    public void entriesListed(Collection<KnownEntry> live, long sentNanos) {
        quorum.scanned(live, sentNanos);
    }

    /**
     * Records which entries a peer knows.
     *
     * @param known the entries
     * @param nowNanos the current time
     */
    public void entriesLearnedFromPeer(Collection<KnownEntry> known, long nowNanos) {
        quorum.learnedFromPeer(known, nowNanos);
    }

    /**
     * Records an entry that connected to this one. It may accept changes, so it is taken into account even if the table
     * service has not been scanned since it started.
     *
     * @param entry the entry
     * @param nowNanos the current time
     */
    public void peerConnected(KnownEntry entry, long nowNanos) {
        quorum.peerConnected(entry, nowNanos);
    }

    /**
     * Records a report from a peer. A peer without a configuration cannot confirm one.
     *
     * @param state the configuration state
     * @param report the peer's report
     * @param asOfNanos an instant no later than the one at which the peer sent the report
     * @param nowNanos the current time
     */
    public void peerReported(ConfigState state, PeerReport report, long asOfNanos, long nowNanos) {
        quorum.reported(report.entry(), report.leaving(), asOfNanos);
        if (report.version().equals(ConfigVersion.NONE)) {
            return;
        }
        state.noteVersion(report.version());
        boolean confirmedByPeer = report.confirmedAgeNanos().isPresent()
                && confirm(state, asOfNanos - report.confirmedAgeNanos().getAsLong());
        boolean confirmedInOutage = tableFailing && confirmByQuorum(state, nowNanos);
        loadedFromPeer = confirmedByPeer || confirmedInOutage || loadedFromPeer && !state.isBehind();
    }

    private boolean confirmByQuorum(ConfigState state, long nowNanos) {
        OptionalLong asOfNanos = quorum.confirmedAsOf(nowNanos);
        return asOfNanos.isPresent() && confirm(state, asOfNanos.getAsLong());
    }

    // -- decisions

    /**
     * Returns the freshness of the configuration.
     *
     * @param nowNanos the current time
     * @return the status
     */
    public FreshnessStatus status(long nowNanos) {
        if (!tableRead && !isLoadedFromPeers(nowNanos)) {
            return FreshnessStatus.NEVER_LOADED;
        }
        return nowNanos - freshUntilNanos() <= 0 ? FreshnessStatus.FRESH : FreshnessStatus.STALE;
    }

    /**
     * Tells whether work may start.
     *
     * @param nowNanos the current time
     * @return true if it may
     */
    public boolean mayStart(long nowNanos) {
        return status(nowNanos).mayStart();
    }

    /**
     * Returns the instant at which the current confirmation expires. Limiting start-by times to it prevents work from
     * starting under a configuration that was replaced more than {@link #CONFIRMATION_VALID_NANOS} earlier.
     *
     * @return the last instant at which work may start; meaningful only while the status is fresh
     */
    public long freshUntilNanos() {
        return confirmedAsOfNanos + CONFIRMATION_VALID_NANOS;
    }

    private boolean isLoadedFromPeers(long nowNanos) {
        return tableFailed && loadedFromPeer && nowNanos - startedNanos >= PEER_OBSERVATION_NANOS;
    }

    private boolean confirm(ConfigState state, long asOfNanos) {
        if (state.isBehind()) {
            return false;
        }
        if (!confirmed || asOfNanos - confirmedAsOfNanos > 0) {
            confirmedAsOfNanos = asOfNanos;
        }
        confirmed = true;
        return true;
    }

    // -- state reported to peers

    /**
     * Returns the age of the current confirmation.
     *
     * @param nowNanos the current time
     * @return the age in nanoseconds; empty if there is no confirmation or it has expired
     */
    public OptionalLong confirmedAgeNanos(long nowNanos) {
        long ageNanos = nowNanos - confirmedAsOfNanos;
        return confirmed && ageNanos <= CONFIRMATION_VALID_NANOS
                ? OptionalLong.of(Math.max(0, ageNanos))
                : OptionalLong.empty();
    }

    /**
     * Tells whether the table service is reachable.
     *
     * @return true if a read has confirmed the configuration and none has failed since the last successful one
     */
    public boolean isTableReachable() {
        return tableRead && !tableFailing;
    }

    /**
     * Tells whether this process has no list of entries yet.
     *
     * @return true until the table service or a peer has listed them
     */
    public boolean lacksEntries() {
        return !quorum.isLoaded();
    }

    /**
     * Returns the entries of the last listing by the table service.
     *
     * @param selfIncarnation the incarnation of this process
     * @return the entries with the newest known incarnation of each
     */
    public List<KnownEntry> listedEntries(Incarnation selfIncarnation) {
        return quorum.voters(selfIncarnation);
    }

    /**
     * Returns the known entries that no longer report.
     *
     * @param nowNanos the current time
     * @return their names
     */
    public List<String> missingEntries(long nowNanos) {
        return quorum.missing(nowNanos);
    }
}
