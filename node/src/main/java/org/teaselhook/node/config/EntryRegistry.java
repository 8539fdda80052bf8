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
 * The entries' rows in the table service: writes this entry's own about every two seconds and scans all. Confined to
 * the control thread, to which answers are handed.
 */
public final class EntryRegistry {

    private static final int MAX_ENTRIES = 1_000;
    private static final long MIN_INTERVAL_NANOS = 1_700_000_000L;
    private static final long CURRENT_NANOS = 3_000_000_000L;
    private static final long MAX_INTERVAL_NANOS = 2_300_000_000L;

    private final TableService table;
    private final Executor control;
    private final RandomGenerator random;
    private final MemberListener listener;
    private final Membership membership = Membership.empty();
    private final Map<String, Long> rowVersions = new HashMap<>();
    private Member self;
    private List<Member> live = List.of();
    private boolean started;
    private boolean left;
    private boolean scanned;
    private long scannedNanos;
    private long dueNanos;

    private EntryRegistry(
            TableService table, Member self, MemberListener listener, Executor control, RandomGenerator random) {
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
     * @param listener told of the live entries on the control thread
     * @param control runs on the control thread
     * @param random spreads the writes of several processes
     * @return the registry
     */
    public static EntryRegistry of(
            TableService table, Member self, MemberListener listener, Executor control, RandomGenerator random) {
        return new EntryRegistry(table, self, listener, control, random);
    }

    // -- events

    /**
     * Writes and scans if due. To be called several times a second.
     *
     * @param nowNanos the present time
     */
    public void tick(long nowNanos) {
        if (left || started && dueNanos - nowNanos > 0) {
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
     * Deletes this entry's row and writes it no more.
     *
     * @return the result of the deletion, later
     */
    public CompletionStage<TableResult> leave() {
        left = true;
        return table.commit(Transaction.empty().delete(ConfigKeys.entry(self.name())));
    }

    private void onScan(TableResult result, long askedNanos) {
        if (!(result instanceof TableResult.Rows rows)) {
            return;
        }
        List<Member> members = new ArrayList<>();
        rowVersions.clear();
        rows.rows().forEach(row -> add(row, members));
        membership.scanned(members, askedNanos);
        scanned = true;
        scannedNanos = askedNanos;
        membership.expired().forEach(this::deleteRow);
        publish(membership.live(), askedNanos);
    }

    private void add(Row row, List<Member> members) {
        ConfigCodec.member(row).ifPresent(member -> {
            members.add(member);
            rowVersions.put(member.name(), row.version());
        });
    }

    private void deleteRow(Member dead) {
        String key = ConfigKeys.entry(dead.name());
        table.commit(
                Transaction.empty().require(key, rowVersions.get(dead.name())).delete(key));
    }

    private void publish(List<Member> next, long askedNanos) {
        listener.listed(next, askedNanos);
        List<Member> before = withoutBeats(live);
        live = next;
        if (!before.equals(withoutBeats(next))) {
            listener.changed(next);
        }
    }

    private static List<Member> withoutBeats(List<Member> members) {
        return members.stream().map(Member::withoutBeat).toList();
    }

    // -- accessors

    /**
     * Tells whether the rows were read lately.
     *
     * @param nowNanos the present time
     * @return true if a scan that was sent within the last 3 s was answered
     */
    public boolean isCurrent(long nowNanos) {
        return scanned && nowNanos - scannedNanos <= CURRENT_NANOS;
    }

    /**
     * Returns the live entries, this one among them once its row was seen.
     *
     * @return what they said last, by name
     */
    public List<Member> live() {
        return live;
    }
}
