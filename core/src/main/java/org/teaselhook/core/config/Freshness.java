package org.teaselhook.core.config;

import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;

import org.teaselhook.core.id.Incarnation;

/**
 * Decides whether an entry's configuration is recent enough to start work. Confined to one thread.
 *
 * <p>A confirmation is an instant as of which no version newer than the one held had been accepted. It lasts for
 * {@link #FRESH_NANOS} and comes from one of three sources:
 * <ul>
 *   <li>a read of the table service, as of the time at which it was sent;
 *   <li>a peer that passes its own confirmation on with its age, as of the time at which this entry sent the heartbeat
 *       that the peer's frame echoes, less that age, so a chain of peers adds nothing to the 3 s;
 *   <li>in an outage, the word of every other entry that may have accepted a change, as of the oldest of these words:
 *       see {@link EntryGroup}.
 * </ul>
 * An answer that lay in a buffer, or a process that was frozen, makes nothing look recent.
 *
 * <p>A process that has just started may serve only after it has read the table service. While that is out of order it
 * may rely on its peers instead, once it has listened to them for {@link #LISTEN_NANOS}.
 *
 * <p>All times are nanoseconds of this process's monotonic clock.
 */
public final class Freshness {

    /** How long a confirmation lasts. */
    public static final long FRESH_NANOS = 3_000_000_000L;

    /** How long a process that starts during an outage listens to its peers before it relies on them. */
    public static final long LISTEN_NANOS = 2_000_000_000L;

    private final long startedNanos;
    private final EntryGroup group;
    private boolean tableRead;
    private boolean peerHeard;
    private boolean tableFailed;
    private boolean tableFailing;
    private boolean confirmed;
    private long confirmedNanos;

    private Freshness(String self, long startedNanos) {
        this.group = new EntryGroup(self);
        this.startedNanos = startedNanos;
    }

    // -- factories

    /**
     * Returns the state of a process that has just started.
     *
     * @param self the name of this entry
     * @param nowNanos the present time
     * @return a new state
     */
    public static Freshness startedAt(String self, long nowNanos) {
        return new Freshness(self, nowNanos);
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
        tableFailing = false;
        state.heard(version);
        if (confirm(state, sentNanos)) {
            tableRead = true;
        }
    }

    /** Notes that a read of the table service failed. */
    public void tableFailed() {
        tableFailed = true;
        tableFailing = true;
    }

    /**
     * Notes which entries the table service lists as live.
     *
     * @param live the entries, this one among them
     * @param sentNanos when the scan was sent
     */
    public void entriesListed(Collection<KnownEntry> live, long sentNanos) {
        group.scanned(live, sentNanos);
    }

    /**
     * Notes which entries a peer knows.
     *
     * @param known the entries
     * @param nowNanos the present time
     */
    public void entriesInherited(Collection<KnownEntry> known, long nowNanos) {
        group.inherited(known, nowNanos);
    }

    /**
     * Notes an entry that dialed this one. It may accept changes, so it counts although the table service was not read
     * since it started.
     *
     * @param entry the entry
     * @param nowNanos the present time
     */
    public void dialedBy(KnownEntry entry, long nowNanos) {
        group.dialedBy(entry, nowNanos);
    }

    /**
     * Notes word from a peer. A peer that holds no version is no reason to start work.
     *
     * @param state the configuration held
     * @param word what the peer said
     * @param asOfNanos an instant not after the one at which the peer said so
     * @param nowNanos the present time
     */
    public void peerHeard(ConfigState state, PeerWord word, long asOfNanos, long nowNanos) {
        group.heard(word.entry(), word.leaving(), asOfNanos);
        if (word.version().equals(ConfigVersion.NONE)) {
            return;
        }
        state.heard(word.version());
        boolean passedOn = word.confirmedAgeNanos().isPresent()
                && confirm(state, asOfNanos - word.confirmedAgeNanos().getAsLong());
        boolean outage = tableFailing && confirmByGroup(state, nowNanos);
        peerHeard = passedOn || outage || peerHeard && !state.isBehind();
    }

    private boolean confirmByGroup(ConfigState state, long nowNanos) {
        OptionalLong silentAsOf = group.silentAsOf(nowNanos);
        return silentAsOf.isPresent() && confirm(state, silentAsOf.getAsLong());
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

    private boolean confirm(ConfigState state, long asOfNanos) {
        if (state.isBehind()) {
            return false;
        }
        if (!confirmed || asOfNanos - confirmedNanos > 0) {
            confirmedNanos = asOfNanos;
        }
        confirmed = true;
        return true;
    }

    // -- what peers are told

    /**
     * Returns how long ago the instant lies as of which the configuration is confirmed.
     *
     * @param nowNanos the present time
     * @return the age in nanoseconds; empty if it is too old to be passed on
     */
    public OptionalLong confirmedAgeNanos(long nowNanos) {
        long ageNanos = nowNanos - confirmedNanos;
        return confirmed && ageNanos <= FRESH_NANOS ? OptionalLong.of(Math.max(0, ageNanos)) : OptionalLong.empty();
    }

    /**
     * Tells whether the table service is reached.
     *
     * @return true if the last read was answered
     */
    public boolean isTableReachable() {
        return tableRead && !tableFailing;
    }

    /**
     * Tells whether this process does not know which entries there are.
     *
     * @return true until the table service or a peer has listed them
     */
    public boolean lacksEntries() {
        return !group.isLoaded();
    }

    /**
     * Returns the entries that the table service listed last.
     *
     * @param selfRun the run of this process
     * @return the entries with the newest run known of each
     */
    public List<KnownEntry> listedEntries(Incarnation selfRun) {
        return group.voters(selfRun);
    }

    /**
     * Returns the entries that were known and are silent now.
     *
     * @param nowNanos the present time
     * @return their names
     */
    public List<String> missingEntries(long nowNanos) {
        return group.missing(nowNanos);
    }
}
