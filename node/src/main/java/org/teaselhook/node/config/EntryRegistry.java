package org.teaselhook.node.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

import org.teaselhook.core.member.Member;
import org.teaselhook.core.member.Membership;
import org.teaselhook.core.table.Row;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;

/**
 * The registry of entries in the table service. About every two seconds, writes this entry's row as a heartbeat and
 * scans the rows of all entries. Confined to the control thread, on which answers are processed too.
 */
public final class EntryRegistry {

    private static final int MAX_ENTRIES = 1_000;
    private static final long MIN_INTERVAL_NANOS = 1_700_000_000L;
    private static final long MAX_SCAN_AGE_NANOS = 3_000_000_000L;
    private static final long MAX_INTERVAL_NANOS = 2_300_000_000L;

    private final TableService table;
    private final Executor control;
    private final RandomGenerator random;
    private final EntryListener listener;
    private final Membership membership = Membership.empty();
    private final Map<String, Long> rowVersions = new HashMap<>();
    private Member self;
    private List<Member> live = List.of();
    private boolean started;
    private boolean deregistered;
    private boolean scanned;
    private long lastScanNanos;
    private long dueNanos;

    private EntryRegistry(
            TableService table, Member self, EntryListener listener, Executor control, RandomGenerator random) {
        this.table = Objects.requireNonNull(table, "table is null");
        this.self = Objects.requireNonNull(self, "self is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
        this.control = Objects.requireNonNull(control, "control is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    // -- factories

    /**
     * Returns a registry that writes and scans at its first tick.
     *
     * @param table the table service
     * @param self this entry
     * @param listener notified of the live entries on the control thread
     * @param control the executor of the control thread
     * @param random adds jitter, so that processes do not write at the same time
     * @return the registry
     */
    public static EntryRegistry of(
            TableService table, Member self, EntryListener listener, Executor control, RandomGenerator random) {
        return new EntryRegistry(table, self, listener, control, random);
    }

    // -- events

    /**
     * Writes and scans if due. Must be called several times a second.
     *
     * @param nowNanos the current time
     */
    public void tick(long nowNanos) {
        if (deregistered || started && dueNanos - nowNanos > 0) {
            return;
        }
        started = true;
        dueNanos = nowNanos + random.nextLong(MIN_INTERVAL_NANOS, MAX_INTERVAL_NANOS);
        self = self.next();
        table.commit(Transaction.empty().put(ConfigKeys.entry(self.name()), ConfigCodec.member(self)));
        table.scan(ConfigKeys.ENTRIES_FROM, ConfigKeys.ENTRIES_TO, MAX_ENTRIES)
                .thenAccept(result -> control.execute(() -> onScan(result, nowNanos)));
    }

    /**
     * Deletes this entry's row and stops writing it.
     *
     * @return completes with the result of the deletion
     */
    public CompletionStage<TableResult> deregister() {
        deregistered = true;
        return table.commit(Transaction.empty().delete(ConfigKeys.entry(self.name())));
    }

    private void onScan(TableResult result, long scanNanos) {
        if (!(result instanceof TableResult.Rows rows)) {
            return;
        }
        List<Member> members = new ArrayList<>();
        rowVersions.clear();
        rows.rows().forEach(row -> add(row, members));
        membership.scanned(members, scanNanos);
        scanned = true;
        lastScanNanos = scanNanos;
        membership.expired().forEach(this::deleteRow);
        notifyListener(membership.live(), scanNanos);
    }

    private void add(Row row, List<Member> members) {
        ConfigCodec.member(row).ifPresent(member -> {
            members.add(member);
            rowVersions.put(member.name(), row.version());
        });
    }

    private void deleteRow(Member expired) {
        String key = ConfigKeys.entry(expired.name());
        table.commit(Transaction.empty()
                .require(key, rowVersions.get(expired.name()))
                .delete(key));
    }

    private void notifyListener(List<Member> next, long scanNanos) {
        listener.onScan(next, scanNanos);
        List<Member> before = withoutHeartbeats(live);
        live = next;
        if (!before.equals(withoutHeartbeats(next))) {
            listener.onChange(next);
        }
    }

    private static List<Member> withoutHeartbeats(List<Member> members) {
        return members.stream().map(Member::withoutBeat).toList();
    }

    // -- accessors

    /**
     * Tells whether the last answered scan is recent.
     *
     * @param nowNanos the current time
     * @return true if a scan that was sent within the last 3 s was answered
     */
    public boolean isCurrent(long nowNanos) {
        return scanned && nowNanos - lastScanNanos <= MAX_SCAN_AGE_NANOS;
    }

    /**
     * Returns the live entries, including this one once a scan has found its row.
     *
     * @return the last known state of each, ordered by name
     */
    public List<Member> liveEntries() {
        return live;
    }
}
