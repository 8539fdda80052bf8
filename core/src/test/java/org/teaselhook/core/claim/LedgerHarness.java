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

/** A ledger whose calls to the table are executed, delayed or failed by the test. */
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
    private long lastId;

    LedgerHarness(Incarnation self, InMemoryTable table) {
        this.table = table;
        this.ledger = Ledger.of(self, LIMITS, new Random(self.value()), this, now().nanos());
        tick(0);
        executeCalls();
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
        lastId++;
        long deadlineNanos = now().nanos() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS);
        ledger.claim(lastId, key, digest, deadlineNanos, now());
        return lastId;
    }

    ClaimResult claimAndExecute(String key, long digest) {
        long claimId = claim(key, digest);
        executeCalls();
        return answers.get(claimId);
    }

    long lookup(String key) {
        lastId++;
        ledger.lookup(lastId, key, now().nanos() + TimeUnit.MILLISECONDS.toNanos(LOOKUP_MILLIS), now());
        return lastId;
    }

    LookupResult lookupAndExecute(String key) {
        long lookupId = lookup(key);
        executeCalls();
        return lookups.get(lookupId);
    }

    LookupResult lookupResult(long lookupId) {
        return lookups.get(lookupId);
    }

    void abandon(String key) {
        ledger.abandon(key);
    }

    void tick(long millis) {
        nowMillis += millis;
        ledger.tick(now());
    }

    /** Executes calls until none is outstanding. */
    void executeCalls() {
        while (!outstanding.isEmpty()) {
            int slot = outstanding.keySet().iterator().next();
            TableCall call = outstanding.remove(slot);
            ledger.callCompleted(slot, execute(call), now());
        }
    }

    /** Ends the call of shard 0 without a known result, and returns its transaction, which was not committed yet. */
    Transaction failCall() {
        TableCall call = outstanding.remove(0);
        ledger.callCompleted(0, new TableResult.Unavailable("lost"), now());
        return call instanceof TableCall.Commit commit ? commit.transaction() : Transaction.empty();
    }

    /** Takes the commit of shard 0 out of the outstanding calls; it has no result until {@link #failTakenCommit}. */
    Transaction takeCommit() {
        return ((TableCall.Commit) outstanding.remove(0)).transaction();
    }

    void failTakenCommit() {
        ledger.callCompleted(0, new TableResult.Unavailable("lost"), now());
    }

    /** Ends all calls without a known result. */
    void failAllCalls() {
        List<Integer> slots = List.copyOf(outstanding.keySet());
        outstanding.clear();
        slots.forEach(slot -> ledger.callCompleted(slot, new TableResult.Unavailable("lost"), now()));
    }

    /** Executes the read calls of shard 0 until its next call is a commit. */
    void executeReads() {
        while (outstanding.containsKey(0) && !(outstanding.get(0) instanceof TableCall.Commit)) {
            ledger.callCompleted(0, execute(outstanding.remove(0)), now());
        }
    }

    private TableResult execute(TableCall call) {
        if (call instanceof TableCall.Read read) {
            return table.read(read.key());
        }
        if (call instanceof TableCall.Scan scan) {
            return table.scan(scan.fromInclusive(), scan.toExclusive(), scan.limit());
        }
        return table.commit(((TableCall.Commit) call).transaction());
    }

    // -- state

    boolean isCurrent() {
        return ledger.isCurrent(now().nanos());
    }

    ClaimResult claimResult(long claimId) {
        return answers.get(claimId);
    }

    boolean hasCall() {
        return !outstanding.isEmpty();
    }

    boolean hasReported(LedgerEvent.Kind kind) {
        return events.stream().anyMatch(event -> event.kind() == kind);
    }

    private ClockReading now() {
        return ClockReading.of(TimeUnit.MILLISECONDS.toNanos(nowMillis), nowMillis);
    }

    // -- ledger output

    @Override
    public void startCall(int slot, TableCall call) {
        if (outstanding.put(slot, call) != null) {
            throw new AssertionError("two concurrent calls in slot " + slot);
        }
    }

    @Override
    public void completeClaim(long claimId, ClaimResult result) {
        if (answers.put(claimId, result) != null) {
            throw new AssertionError("claim " + claimId + " was answered twice");
        }
    }

    @Override
    public void completeLookup(long lookupId, LookupResult result) {
        if (lookups.put(lookupId, result) != null) {
            throw new AssertionError("lookup " + lookupId + " was answered twice");
        }
    }

    @Override
    public void reportEvent(LedgerEvent event) {
        events.add(event);
    }
}
