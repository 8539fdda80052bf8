package org.teaselhook.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.table.InMemoryTable;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.Transaction;

/** One ledger whose calls to the table are made, delayed or lost by the test. */
final class LedgerHarness implements LedgerOutput {

    static final LedgerLimits LIMITS = new LedgerLimits(100_000, 4, 8, 100, 30, 0, 250, 500);
    static final long DEADLINE_MILLIS = 2_000;
    static final long LOOKUP_MILLIS = 300;

    private final Ledger ledger;
    private final InMemoryTable table;
    private final Map<Integer, TableCall> outstanding = new TreeMap<>();
    private final Map<Long, ClaimResult> answers = new HashMap<>();
    private final Map<Long, LookupResult> lookups = new HashMap<>();
    private final List<LedgerEvent> events = new ArrayList<>();
    private long nowMillis = 1_000_000;
    private long lastClaimId;

    LedgerHarness(Incarnation self, InMemoryTable table) {
        this.table = table;
        this.ledger = Ledger.of(self, LIMITS, new Random(self.value()), this, now().nanos());
        tick(0);
        settle();
    }

    /** Returns the i-th key of shard 0. */
    static String key(int i) {
        return IntStream.iterate(0, n -> n + 1)
                .mapToObj(n -> "key-" + n)
                .filter(key -> Shards.of(key) == 0)
                .skip(i)
                .findFirst()
                .orElseThrow();
    }

    // -- operations

    long claim(String key, long digest) {
        lastClaimId++;
        long deadlineNanos = now().nanos() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS);
        ledger.claim(lastClaimId, key, digest, deadlineNanos, now());
        return lastClaimId;
    }

    ClaimResult claimNow(String key, long digest) {
        long claimId = claim(key, digest);
        settle();
        return answers.get(claimId);
    }

    long lookup(String key) {
        lastClaimId++;
        ledger.lookup(lastClaimId, key, now().nanos() + TimeUnit.MILLISECONDS.toNanos(LOOKUP_MILLIS), now());
        return lastClaimId;
    }

    LookupResult lookupNow(String key) {
        long lookupId = lookup(key);
        settle();
        return lookups.get(lookupId);
    }

    LookupResult found(long lookupId) {
        return lookups.get(lookupId);
    }

    void abandon(String key) {
        ledger.abandon(key);
    }

    void tick(long millis) {
        nowMillis += millis;
        ledger.tick(now());
    }

    /** Makes every call until none is wanted. */
    void settle() {
        while (!outstanding.isEmpty()) {
            int shard = outstanding.keySet().iterator().next();
            TableCall call = outstanding.remove(shard);
            ledger.completed(shard, make(call), now());
        }
    }

    /** Ends the call of shard 0 without a known result, and returns its transaction, which had no effect yet. */
    Transaction lose() {
        TableCall call = outstanding.remove(0);
        ledger.completed(0, new TableResult.Unavailable("lost"), now());
        return call instanceof TableCall.Commit commit ? commit.transaction() : Transaction.empty();
    }

    /** Takes the commit of shard 0, which stays without answer until {@link #completeTakenAsLost}. */
    Transaction takeCommit() {
        return ((TableCall.Commit) outstanding.remove(0)).transaction();
    }

    void completeTakenAsLost() {
        ledger.completed(0, new TableResult.Unavailable("lost"), now());
    }

    /** Ends all calls without a known result. */
    void loseAll() {
        List<Integer> slots = List.copyOf(outstanding.keySet());
        outstanding.clear();
        slots.forEach(slot -> ledger.completed(slot, new TableResult.Unavailable("lost"), now()));
    }

    /** Makes the read calls of shard 0 until it wants to commit. */
    void settleReads() {
        while (outstanding.containsKey(0) && !(outstanding.get(0) instanceof TableCall.Commit)) {
            ledger.completed(0, make(outstanding.remove(0)), now());
        }
    }

    private TableResult make(TableCall call) {
        if (call instanceof TableCall.Read read) {
            return table.read(read.key());
        }
        if (call instanceof TableCall.Scan scan) {
            return table.scan(scan.fromInclusive(), scan.toExclusive(), scan.limit());
        }
        return table.commit(((TableCall.Commit) call).transaction());
    }

    // -- observations

    boolean isCurrent() {
        return ledger.isCurrent(now().nanos());
    }

    ClaimResult answer(long claimId) {
        return answers.get(claimId);
    }

    boolean hasCall() {
        return !outstanding.isEmpty();
    }

    boolean hasSeen(LedgerEvent.Kind kind) {
        return events.stream().anyMatch(event -> event.kind() == kind);
    }

    private ClockReading now() {
        return ClockReading.of(TimeUnit.MILLISECONDS.toNanos(nowMillis), nowMillis);
    }

    // -- output of the ledger

    @Override
    public void call(int shard, TableCall call) {
        if (outstanding.put(shard, call) != null) {
            throw new AssertionError("two calls at once on shard " + shard);
        }
    }

    @Override
    public void answer(long claimId, ClaimResult result) {
        if (answers.put(claimId, result) != null) {
            throw new AssertionError("claim " + claimId + " was answered twice");
        }
    }

    @Override
    public void found(long lookupId, LookupResult result) {
        if (lookups.put(lookupId, result) != null) {
            throw new AssertionError("lookup " + lookupId + " was answered twice");
        }
    }

    @Override
    public void event(LedgerEvent event) {
        events.add(event);
    }
}
