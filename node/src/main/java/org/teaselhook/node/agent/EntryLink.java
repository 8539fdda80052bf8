package org.teaselhook.node.agent;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The state of the connection to one entry address, with its dial backoff and timeouts.
 */
final class EntryLink {

    static final long RECEIVE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    static final long ECHO_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long FAILURE_COOLDOWN_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final InetSocketAddress address;
    private final boolean configured;
    private EntryStream stream;
    private KnownEntry entry;
    private List<KnownEntry> listedEntries = List.of();
    private boolean established;
    private boolean failing;
    private long failedNanos;
    private boolean entryLeaving;
    private boolean selected = true;
    private boolean draining;
    private long drainingSinceNanos;
    private boolean duplicate;
    private long nextDialNanos;
    private long backoffNanos = MIN_BACKOFF_NANOS;
    private long lastReceivedNanos;
    private long lastEchoNanos;
    private long lastListedNanos;

    EntryLink(InetSocketAddress address, boolean configured, long nowNanos) {
        this.address = address;
        this.entry = new KnownEntry(address, "");
        this.configured = configured;
        this.nextDialNanos = nowNanos;
        this.lastListedNanos = nowNanos;
    }

    // -- accessors

    InetSocketAddress address() {
        return address;
    }

    KnownEntry entry() {
        return entry;
    }

    /** Whether the entry may be selected; false for a further address of an entry that is already connected. */
    boolean isCandidate() {
        return !duplicate;
    }

    /** Whether the entry is expected to serve: it is not leaving, and has sent a hello since any recent failure. */
    boolean isUsable(long nowNanos) {
        boolean recentlyFailed = failing && nowNanos - failedNanos < FAILURE_COOLDOWN_NANOS;
        return !duplicate && !recentlyFailed && !entryLeaving;
    }

    /** Returns the entries that this one last listed on the current connection. */
    List<KnownEntry> listedEntries() {
        return listedEntries;
    }

    boolean isSelected() {
        return selected;
    }

    boolean isEstablished() {
        return established;
    }

    boolean isDraining() {
        return draining;
    }

    /** Whether the entry has echoed a timestamp from after the start of draining, and so knows of it. */
    boolean isDrainingConfirmed() {
        return draining && lastEchoNanos > drainingSinceNanos;
    }

    boolean isCurrentStream(EntryStream other) {
        return stream != null && stream == other;
    }

    boolean hasStream() {
        return stream != null;
    }

    EntryStream stream() {
        return stream;
    }

    /** Whether no frame was received, or no newer timestamp was echoed, within the respective timeout. */
    boolean isTimedOut(long nowNanos) {
        return hasStream()
                && (nowNanos - lastReceivedNanos > RECEIVE_TIMEOUT_NANOS
                        || nowNanos - lastEchoNanos > ECHO_TIMEOUT_NANOS);
    }

    boolean isDialDue(long nowNanos) {
        return !hasStream() && !duplicate && selected && nowNanos - nextDialNanos >= 0;
    }

    /** Whether the address is neither in the settings nor connected, and no entry has listed it recently. */
    boolean isExpired(long nowNanos, long retentionNanos) {
        return !configured && !hasStream() && nowNanos - lastListedNanos > retentionNanos;
    }

    // -- updates

    void dialed(EntryStream newStream, long nowNanos) {
        stream = newStream;
        established = false;
        draining = false;
        entryLeaving = false;
        lastReceivedNanos = nowNanos;
        lastEchoNanos = nowNanos;
    }

    void frameReceived(long nowNanos) {
        lastReceivedNanos = nowNanos;
    }

    /** Records the echo of a timestamp that this agent sent. */
    void echoReceived(long echoNanos) {
        lastEchoNanos = Math.max(lastEchoNanos, echoNanos);
        backoffNanos = MIN_BACKOFF_NANOS;
    }

    void listed(String entryZone, long nowNanos) {
        updateZone(entryZone.isEmpty() ? entry.zone() : entryZone);
        lastListedNanos = nowNanos;
    }

    void updateListedEntries(List<KnownEntry> entries) {
        listedEntries = entries;
    }

    private void updateZone(String entryZone) {
        if (!entryZone.equals(entry.zone())) {
            entry = new KnownEntry(address, entryZone);
        }
    }

    void established(String entryZone) {
        updateZone(entryZone);
        established = true;
        failing = false;
    }

    void setEntryLeaving(boolean leaving) {
        entryLeaving = leaving;
    }

    void setSelected(boolean isSelected) {
        selected = isSelected;
    }

    void startDraining(long nowNanos) {
        draining = true;
        drainingSinceNanos = nowNanos;
    }

    void cancelDraining() {
        draining = false;
    }

    void setDuplicate(boolean isDuplicate) {
        duplicate = isDuplicate;
    }

    /** Records that the connection failed or could not be established. */
    void connectionFailed(long nowNanos) {
        failing = true;
        failedNanos = nowNanos;
    }

    /** Clears the stream; the next dial is due immediately, or after an exponential backoff. */
    void streamDropped(long nowNanos, boolean immediately) {
        stream = null;
        established = false;
        draining = false;
        listedEntries = List.of();
        nextDialNanos = immediately ? nowNanos : nowNanos + backoffNanos;
        backoffNanos = immediately ? backoffNanos : Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
    }
}
