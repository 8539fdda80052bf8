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

/** Several ledgers over one table in virtual time, with faults drawn from a seed. */
final class LedgerSimulation {

    private static final int PROCESSES = 4;
    private static final int KEYS = 60;
    private static final String FRESH_KEY = "fresh-";
    private static final long MILLI = 1_000_000;
    private static final long CALL_TIMEOUT_MILLIS = 500;
    private static final LedgerLimits LIMITS = new LedgerLimits(20_000, 4, 16, 400, 30, 20, 250, 500);

    private final Random random;
    private final InMemoryTable table = InMemoryTable.empty();
    private final ClaimHistory history = new ClaimHistory(LIMITS.retentionMillis());
    private final Map<Kind, Integer> events = new EnumMap<>(Kind.class);
    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private final List<Process> processes = new ArrayList<>();
    private long nowNanos = 1_000 * MILLI;
    private long lastEvent;
    private long outageUntilNanos;
    private boolean faulty = true;
    private int lookups;

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

    // -- running

    ClaimHistory run(long millis) {
        for (int i = 0; i < PROCESSES; i++) {
            processes.add(new Process());
        }
        after(0, this::claimSomething);
        after(500, this::injectFault);
        advance(millis);
        faulty = false;
        advance(millis / 3);
        requireAllAnswered();
        requireAllWin();
        return history;
    }

    Map<Kind, Integer> events() {
        return events;
    }

    int lookups() {
        return lookups;
    }

    private void after(long millis, Runnable action) {
        queue.add(new Event(nowNanos + millis * MILLI, lastEvent++, action));
    }

    private void advance(long millis) {
        long untilNanos = nowNanos + millis * MILLI;
        while (queue.peek().atNanos() <= untilNanos) {
            Event next = queue.poll();
            nowNanos = next.atNanos();
            next.action().run();
        }
        nowNanos = untilNanos;
    }

    // -- load and faults

    private void claimSomething() {
        Process process = processes.get(random.nextInt(PROCESSES));
        String key = "key-" + random.nextInt(KEYS);
        process.onThread(() -> process.claim(key, 50 + random.nextInt(3_000)));
        if (random.nextInt(5) == 0) {
            process.onThread(() -> process.lookup(key));
        }
        after(random.nextInt(10), this::claimSomething);
    }

    private void injectFault() {
        if (faulty) {
            int victim = random.nextInt(PROCESSES);
            switch (random.nextInt(4)) {
                case 0 -> processes.set(victim, new Process());
                case 1 -> processes.get(victim).frozenUntilNanos = nowNanos + (long) random.nextInt(3_000) * MILLI;
                case 2 -> processes.get(victim).frozenUntilNanos = nowNanos + (long) random.nextInt(40_000) * MILLI;
                default -> outageUntilNanos = nowNanos + (long) random.nextInt(5_000) * MILLI;
            }
        }
        after(random.nextInt(5_000), this::injectFault);
    }

    private void requireAllAnswered() {
        for (Process process : processes) {
            long overdue = process.deadlines.values().stream()
                    .filter(deadline -> nowNanos - deadline > 100 * MILLI)
                    .count();
            if (overdue > 0) {
                throw new AssertionError(overdue + " claims were never answered");
            }
        }
    }

    private void requireAllWin() {
        for (Process process : processes) {
            for (int attempt = 0; attempt < 5 && !process.hasWonFreshKey; attempt++) {
                process.claim(FRESH_KEY + process.self, 5_000);
                advance(2_000);
            }
            if (!process.hasWonFreshKey) {
                throw new AssertionError(process.self + " cannot win a new key after all faults");
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
        private final Map<Long, Long> lookupsSince = new HashMap<>();
        private long frozenUntilNanos;
        private boolean hasWonFreshKey;
        private long lastClaimId;

        Process() {
            after(0, this::tick);
        }

        private void onThread(Runnable action) {
            if (frozenUntilNanos > nowNanos) {
                after((frozenUntilNanos - nowNanos) / MILLI + 1, () -> onThread(action));
            } else if (processes.contains(this)) {
                action.run();
            }
        }

        private void tick() {
            onThread(() -> {
                ledger.tick(now());
                after(5, this::tick);
            });
        }

        private ClockReading now() {
            return ClockReading.of(nowNanos, TimeUnit.NANOSECONDS.toMillis(nowNanos) + wallOffsetMillis);
        }

        private void claim(String key, long timeoutMillis) {
            lastClaimId++;
            keys.put(lastClaimId, key);
            deadlines.put(lastClaimId, nowNanos + timeoutMillis * MILLI);
            ledger.claim(lastClaimId, key, key.hashCode(), nowNanos + timeoutMillis * MILLI, now());
        }

        private void lookup(String key) {
            lastClaimId++;
            keys.put(lastClaimId, key);
            lookupsSince.put(lastClaimId, nowNanos);
            ledger.lookup(lastClaimId, key, nowNanos + 300 * MILLI, now());
        }

        @Override
        public void answer(long claimId, ClaimResult result) {
            String key = keys.remove(claimId);
            long deadlineNanos = deadlines.remove(claimId);
            if (!(result instanceof ClaimResult.Won)) {
                return;
            }
            if (nowNanos >= deadlineNanos) {
                throw new AssertionError(key + " was won after the deadline");
            }
            hasWonFreshKey |= key.startsWith(FRESH_KEY);
            history.won(key, self, nowNanos);
            if (random.nextInt(3) == 0) {
                after(random.nextInt(1_000), () -> onThread(() -> abandon(key)));
            }
        }

        private void abandon(String key) {
            if (history.abandon(key, self)) {
                ledger.abandon(key);
            }
        }

        @Override
        public void found(long lookupId, LookupResult result) {
            long sinceNanos = lookupsSince.remove(lookupId);
            String key = keys.remove(lookupId);
            boolean certain = result.equals(new LookupResult.NotHeld(true));
            if (certain && history.isHeldSince(key, sinceNanos, nowNanos)) {
                throw new AssertionError(key + " was found free although it was held");
            }
            lookups += certain ? 1 : 0;
        }

        @Override
        public void event(LedgerEvent event) {
            events.merge(event.kind(), 1, Integer::sum);
        }

        // -- the table service with its faults

        @Override
        public void call(int shard, TableCall call) {
            long latencyMillis = 1 + random.nextInt(random.nextInt(50) == 0 ? 450 : 10);
            int draw = faulty ? random.nextInt(200) : 200;
            if (nowNanos < outageUntilNanos || draw < 4) {
                after(CALL_TIMEOUT_MILLIS, () -> lost(shard));
            } else if (draw < 16) {
                after(latencyMillis, () -> make(call));
                after(CALL_TIMEOUT_MILLIS, () -> lost(shard));
            } else if (draw < 28) {
                long lateMillis = random.nextInt(random.nextInt(10) == 0 ? 90_000 : 6_000);
                after(CALL_TIMEOUT_MILLIS + lateMillis, () -> make(call));
                after(CALL_TIMEOUT_MILLIS, () -> lost(shard));
            } else {
                after(latencyMillis, () -> answered(shard, make(call), latencyMillis));
            }
        }

        private void answered(int shard, TableResult result, long latencyMillis) {
            after(latencyMillis, () -> onThread(() -> ledger.completed(shard, result, now())));
        }

        private void lost(int shard) {
            onThread(() -> ledger.completed(shard, new TableResult.Unavailable("timeout"), now()));
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
    }
}
