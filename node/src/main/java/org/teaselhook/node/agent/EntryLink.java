package org.teaselhook.node.agent;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The connection to one address: when to dial, and when it has been silent for too long.
 */
final class EntryLink {

    static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(2);
    static final long UNHEARD_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long FAILED_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final InetSocketAddress address;
    private final boolean configured;
    private EntryStream stream;
    private KnownEntry entry;
    private List<KnownEntry> names = List.of();
    private boolean greeted;
    private boolean failing;
    private long failedNanos;
    private boolean entryLeaving;
    private boolean wanted = true;
    private boolean parting;
    private long partingNanos;
    private boolean dormant;
    private long dialDueNanos;
    private long backoffNanos = MIN_BACKOFF_NANOS;
    private long heardNanos;
    private long provenNanos;
    private long namedNanos;

    EntryLink(InetSocketAddress address, boolean configured, long nowNanos) {
        this.address = address;
        this.entry = new KnownEntry(address, "");
        this.configured = configured;
        this.dialDueNanos = nowNanos;
        this.namedNanos = nowNanos;
    }

    // -- accessors

    InetSocketAddress address() {
        return address;
    }

    KnownEntry entry() {
        return entry;
    }

    /** Whether the entry may be chosen at all; another address of a connected entry is not. */
    boolean isCandidate() {
        return !dormant;
    }

    /** Whether the entry can be expected to serve: it has not failed of late, unless it greeted since, and stays. */
    boolean isUsable(long nowNanos) {
        boolean failed = failing && nowNanos - failedNanos < FAILED_NANOS;
        return !dormant && !failed && !entryLeaving;
    }

    /** Returns the entries that this one named last on the present connection. */
    List<KnownEntry> names() {
        return names;
    }

    boolean isWanted() {
        return wanted;
    }

    boolean isGreeted() {
        return greeted;
    }

    boolean isParting() {
        return parting;
    }

    /** Whether the entry has echoed a time after this agent told it to place nothing more here. */
    boolean isPartingKnown() {
        return parting && provenNanos > partingNanos;
    }

    boolean isOn(EntryStream other) {
        return stream != null && stream == other;
    }

    boolean hasStream() {
        return stream != null;
    }

    EntryStream stream() {
        return stream;
    }

    /** Whether nothing arrived for too long, or nothing that this agent sent was echoed for too long. */
    boolean isSilent(long nowNanos) {
        return hasStream() && (nowNanos - heardNanos > SILENCE_NANOS || nowNanos - provenNanos > UNHEARD_NANOS);
    }

    boolean isDialDue(long nowNanos) {
        return !hasStream() && !dormant && wanted && nowNanos - dialDueNanos >= 0;
    }

    /** Whether the address is neither in the settings nor named by any entry of late, and not connected. */
    boolean isForgotten(long nowNanos, long keepNanos) {
        return !configured && !hasStream() && nowNanos - namedNanos > keepNanos;
    }

    // -- updates

    void dialed(EntryStream opened, long nowNanos) {
        stream = opened;
        greeted = false;
        parting = false;
        entryLeaving = false;
        heardNanos = nowNanos;
        provenNanos = nowNanos;
    }

    void heard(long nowNanos) {
        heardNanos = nowNanos;
    }

    /** Notes an echo of a time that this agent has sent. */
    void echoed(long echoNanos) {
        provenNanos = Math.max(provenNanos, echoNanos);
        backoffNanos = MIN_BACKOFF_NANOS;
    }

    void named(String entryZone, long nowNanos) {
        zone(entryZone.isEmpty() ? entry.zone() : entryZone);
        namedNanos = nowNanos;
    }

    void names(List<KnownEntry> named) {
        names = named;
    }

    private void zone(String entryZone) {
        if (!entryZone.equals(entry.zone())) {
            entry = new KnownEntry(address, entryZone);
        }
    }

    void greeted(String entryZone) {
        zone(entryZone);
        greeted = true;
        failing = false;
    }

    void entryLeaving(boolean leaves) {
        entryLeaving = leaves;
    }

    void wanted(boolean isWanted) {
        wanted = isWanted;
    }

    void part(long nowNanos) {
        parting = true;
        partingNanos = nowNanos;
    }

    void stay() {
        parting = false;
    }

    void dormant(boolean sleeps) {
        dormant = sleeps;
    }

    /** Notes that the connection broke or could not be made. */
    void failed(long nowNanos) {
        failing = true;
        failedNanos = nowNanos;
    }

    /** Notes that the stream is gone; the next dial is due at once or after a pause that doubles. */
    void dropped(long nowNanos, boolean atOnce) {
        stream = null;
        greeted = false;
        parting = false;
        names = List.of();
        dialDueNanos = atOnce ? nowNanos : nowNanos + backoffNanos;
        backoffNanos = atOnce ? backoffNanos : Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
    }
}
