package org.teaselhook.core.claim;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.claim.LedgerEvent.Kind;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.table.InMemoryTable;
import org.teaselhook.core.table.TableResult;

/** A simulation of several ledgers that share one table, in virtual time, with faults drawn from a seed. */
final class LedgerSimulation {

    private static final int PROCESSES = 4;
    private static final int KEYS = 60;
    private static final String FRESH_KEY = "fresh-";
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long CALL_TIMEOUT_MILLIS = 500;
    private static final LedgerLimits LIMITS = new LedgerLimits(20_000, 4, 16, 400, 30, 20, 250, 500);

    private final Random random;
    private final InMemoryTable table = InMemoryTable.empty();
    private final ClaimHistory history = new ClaimHistory(LIMITS.retentionMillis());
    private final Map<Kind, Integer> events = new EnumMap<>(Kind.class);
    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private final List<Process> processes = new ArrayList<>();
    private long nowNanos = 1_000 * NANOS_PER_MILLI;
    private long lastEvent;
    private long outageUntilNanos;
    private boolean injectFaults = true;
    private int certainLookups;

    LedgerSimulation(long seed) {
        random = new Random(seed);
    }

    private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime == 0 ? Long.compare(order, other.order) : byTime;
        }
    }

    // -- run

    ClaimHistory run(long millis) {
        for (int i = 0; i < PROCESSES; i++) {
            processes.add(new Process());
        }
        after(0, this::claimRandomKey);
        after(500, this::injectFault);
        advance(millis);
        injectFaults = false;
        advance(millis / 3);
        requireAllAnswered();
        requireAllCanClaim();
        return history;
    }

    Map<Kind, Integer> events() {
        return events;
    }

    int certainLookups() {
        return certainLookups;
    }

    private void after(long millis, Runnable action) {
        queue.add(new Event(nowNanos + millis * NANOS_PER_MILLI, lastEvent++, action));
    }

    private void advance(long millis) {
        long untilNanos = nowNanos + millis * NANOS_PER_MILLI;
        while (queue.peek().atNanos() <= untilNanos) {
            Event next = queue.poll();
            nowNanos = next.atNanos();
            next.action().run();
        }
        nowNanos = untilNanos;
    }

    // -- load and faults

    private void claimRandomKey() {
        Process process = processes.get(random.nextInt(PROCESSES));
        String key = "key-" + random.nextInt(KEYS);
        process.runWhenUnfrozen(() -> process.claim(key, 50 + random.nextInt(3_000)));
        if (random.nextInt(5) == 0) {
            process.runWhenUnfrozen(() -> process.lookup(key));
        }
        after(random.nextInt(10), this::claimRandomKey);
    }

    private void injectFault() {
        if (injectFaults) {
            int index = random.nextInt(PROCESSES);
            switch (random.nextInt(4)) {
                case 0 -> processes.set(index, new Process());
                case 1 ->
                    processes.get(index).frozenUntilNanos = nowNanos + (long) random.nextInt(3_000) * NANOS_PER_MILLI;
                case 2 ->
                    processes.get(index).frozenUntilNanos = nowNanos + (long) random.nextInt(40_000) * NANOS_PER_MILLI;
                default -> outageUntilNanos = nowNanos + (long) random.nextInt(5_000) * NANOS_PER_MILLI;
            }
        }
        after(random.nextInt(5_000), this::injectFault);
    }

    private void requireAllAnswered() {
        for (Process process : processes) {
            long overdue = process.deadlines.values().stream()
                    .filter(deadline -> nowNanos - deadline > 100 * NANOS_PER_MILLI)
                    .count();
            if (overdue > 0) {
                throw new AssertionError(overdue + " claims were not answered");
            }
        }
    }

    private void requireAllCanClaim() {
        for (Process process : processes) {
            for (int attempt = 0; attempt < 5 && !process.hasAcquiredFreshKey; attempt++) {
                process.claim(FRESH_KEY + process.self, 5_000);
                advance(2_000);
            }
            if (!process.hasAcquiredFreshKey) {
                throw new AssertionError(process.self + " cannot acquire a new key after the faults ended");
            }
        }
    }

    // -- one process

    private final class Process implements LedgerOutput {

        private final Incarnation self = Incarnation.random(random);
        private final long wallOffsetMillis = random.nextInt(1_000) - 500;
        private final Ledger ledger = Ledger.of(self, LIMITS, new Random(random.nextLong()), this, nowNanos);
        private final Map<Long, String> keys = new HashMap<>();
        private final Map<Long, Long> deadlines = new HashMap<>();
        private final Map<Long, Long> lookupStarts = new HashMap<>();
        private long frozenUntilNanos;
        private boolean hasAcquiredFreshKey;
        private long lastId;

        Process() {
            after(0, this::tick);
        }

        private void runWhenUnfrozen(Runnable action) {
            if (frozenUntilNanos > nowNanos) {
                after((frozenUntilNanos - nowNanos) / NANOS_PER_MILLI + 1, () -> runWhenUnfrozen(action));
            } else if (processes.contains(this)) {
                action.run();
            }
        }

        private void tick() {
            runWhenUnfrozen(() -> {
                ledger.tick(now());
                after(5, this::tick);
            });
        }

        private ClockReading now() {
            return ClockReading.of(nowNanos, TimeUnit.NANOSECONDS.toMillis(nowNanos) + wallOffsetMillis);
        }

        private void claim(String key, long timeoutMillis) {
            lastId++;
            keys.put(lastId, key);
            deadlines.put(lastId, nowNanos + timeoutMillis * NANOS_PER_MILLI);
            ledger.claim(lastId, key, key.hashCode(), nowNanos + timeoutMillis * NANOS_PER_MILLI, now());
        }

        private void lookup(String key) {
            lastId++;
            keys.put(lastId, key);
            lookupStarts.put(lastId, nowNanos);
            ledger.lookup(lastId, key, nowNanos + 300 * NANOS_PER_MILLI, now());
        }

        @Override
        public void completeClaim(long claimId, ClaimResult result) {
            String key = keys.remove(claimId);
            long deadlineNanos = deadlines.remove(claimId);
            if (!(result instanceof ClaimResult.Acquired)) {
                return;
            }
            if (nowNanos >= deadlineNanos) {
                throw new AssertionError(key + " was acquired after the deadline");
            }
            hasAcquiredFreshKey |= key.startsWith(FRESH_KEY);
            history.recordAcquired(key, self, nowNanos);
            if (random.nextInt(3) == 0) {
                after(random.nextInt(1_000), () -> runWhenUnfrozen(() -> abandon(key)));
            }
        }

        private void abandon(String key) {
            if (history.abandon(key, self)) {
                ledger.abandon(key);
            }
        }

        @Override
        public void completeLookup(long lookupId, LookupResult result) {
            long sinceNanos = lookupStarts.remove(lookupId);
            String key = keys.remove(lookupId);
            boolean certain = result.equals(new LookupResult.NotHeld(true));
            if (certain && history.isHeldSince(key, sinceNanos, nowNanos)) {
                throw new AssertionError(key + " was reported as not held although it was held");
            }
            certainLookups += certain ? 1 : 0;
        }

        @Override
        public void reportEvent(LedgerEvent event) {
            events.merge(event.kind(), 1, Integer::sum);
        }

        // -- table service with faults

        @Override
        public void startCall(int slot, TableCall call) {
            long latencyMillis = 1 + random.nextInt(random.nextInt(50) == 0 ? 450 : 10);
            int draw = injectFaults ? random.nextInt(200) : 200;
            if (nowNanos < outageUntilNanos || draw < 4) {
                after(CALL_TIMEOUT_MILLIS, () -> timeOut(slot));
            } else if (draw < 16) {
                after(latencyMillis, () -> execute(call));
                after(CALL_TIMEOUT_MILLIS, () -> timeOut(slot));
            } else if (draw < 28) {
                long lateMillis = random.nextInt(random.nextInt(10) == 0 ? 90_000 : 6_000);
                after(CALL_TIMEOUT_MILLIS + lateMillis, () -> execute(call));
                after(CALL_TIMEOUT_MILLIS, () -> timeOut(slot));
            } else {
                after(latencyMillis, () -> complete(slot, execute(call), latencyMillis));
            }
        }

        private void complete(int slot, TableResult result, long latencyMillis) {
            after(latencyMillis, () -> runWhenUnfrozen(() -> ledger.callCompleted(slot, result, now())));
        }

        private void timeOut(int slot) {
            runWhenUnfrozen(() -> ledger.callCompleted(slot, new TableResult.Unavailable("timeout"), now()));
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
    }
}
