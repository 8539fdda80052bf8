package org.teaselhook.node.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.config.ConfigState;
import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.config.Freshness;
import org.teaselhook.core.rules.RulesText;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against lost or repeated changes when several operators change the configuration concurrently and the table
 * service loses answers, delays writes and drops requests. Observers poll the configuration meanwhile. A failing run
 * reports its seed.
 */
public class ConfigRaceTest {

    private static final int RUNS = 300;
    private static final int OPERATORS = 3;
    private static final int CHANGES_EACH = 8;
    private static final int OBSERVERS = 2;
    private static final int FAULT_PERCENT = 30;

    @Test
    public void shouldNotLoseOrRepeatAcceptedChange() {
        long first = System.nanoTime();
        for (long seed = first; seed < first + RUNS; seed++) {
            try {
                new Race(new Random(seed)).run();
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError("seed " + seed, e);
            }
        }
    }

    private static final class Race {
        private final Random random;
        private final FaultyTable table;
        private final ConfigStore store;
        private final Map<String, ConfigVersion> accepted = new HashMap<>();
        private final Set<String> conflicting = new HashSet<>();
        private final List<Observer> observers = new ArrayList<>();
        private int activeOperators = OPERATORS;
        private long highestVersion;
        private long nowNanos;

        Race(Random random) {
            this.random = random;
            this.table = new FaultyTable(random, FAULT_PERCENT);
            this.store = ConfigStore.of(table, () -> 0);
            table.afterCommit(this::checkConsecutiveVersion);
        }

        void run() {
            for (int i = 0; i < OBSERVERS; i++) {
                observers.add(new Observer(table, random));
            }
            for (int i = 0; i < OPERATORS; i++) {
                makeChange("op" + i, 0);
            }
            for (int steps = 0; activeOperators > 0; steps++) {
                assertTrue(steps < 1_000_000, "the operators do not finish");
                step();
            }
            table.withoutFaults();
            while (table.step()) {
                nowNanos++;
            }
            checkHistory();
        }

        private void step() {
            nowNanos += 20_000_000;
            observers.forEach(observer -> observer.tick(nowNanos));
            table.step();
        }

        // -- operators

        private void makeChange(String operator, int number) {
            if (number == CHANGES_EACH) {
                activeOperators--;
                return;
            }
            String operation = operator + "-" + number;
            if (random.nextBoolean()) {
                edit(operator, number, operation);
            } else {
                store.current()
                        .thenAccept(current -> current.ifPresentOrElse(
                                record -> replace(operator, number, operation, record),
                                () -> makeChange(operator, number)));
            }
        }

        private void edit(String operator, int number, String operation) {
            CompletionStage<ApplyResult> result = store.edit(
                    "zone " + operation + " out",
                    text -> text.withZoneOut(operation, operator, "race"),
                    operation,
                    operator);
            result.thenAccept(r -> finish(operator, number, operation, r, () -> edit(operator, number, operation)));
        }

        private void replace(String operator, int number, String operation, ConfigRecord base) {
            String text = RulesText.of(base.text())
                    .withZoneOut(operation, operator, "race")
                    .text();
            store.apply(base.version(), text, operation, operator)
                    .thenAccept(r ->
                            finish(operator, number, operation, r, () -> replace(operator, number, operation, base)));
        }

        private void finish(String operator, int number, String operation, ApplyResult result, Runnable retry) {
            if (result instanceof ApplyResult.Unsettled && random.nextInt(4) > 0) {
                retry.run();
                return;
            }
            if (result instanceof ApplyResult.Applied applied) {
                accepted.put(operation, applied.record().version());
            }
            if (result instanceof ApplyResult.Conflict) {
                conflicting.add(operation);
            }
            assertFalse(
                    result instanceof ApplyResult.Unchanged,
                    "the edit of a separate zone was answered as unchanged: " + operation);
            assertFalse(result instanceof ApplyResult.Rejected, "rejected: " + result);
            makeChange(operator, number + 1);
        }

        // -- invariants

        private void checkConsecutiveVersion() {
            ConfigPointer pointer =
                    ConfigCodec.pointer(table.row(ConfigKeys.CURRENT)).orElseThrow();
            long version = pointer.version().value();
            assertEquals(version, highestVersion + 1, "versions are not consecutive");
            highestVersion = version;
        }

        private void checkHistory() {
            Map<String, ConfigVersion> history = new HashMap<>();
            List<ConfigRecord> records = table.range("config/history/", "config/history0").stream()
                    .map(row -> ConfigCodec.record(row).orElseThrow())
                    .toList();
            for (ConfigRecord record : records) {
                assertEquals(history.put(record.operation(), record.version()), null, "applied twice");
            }
            assertEquals(records.size(), highestVersion);
            RulesText last = RulesText.of(records.get(records.size() - 1).text());
            accepted.forEach((operation, version) -> {
                assertEquals(history.get(operation), version, "accepted as another version: " + operation);
                assertTrue(last.isZoneOut(operation), "an accepted change is lost: " + operation);
            });
            conflicting.forEach(operation ->
                    assertFalse(history.containsKey(operation), "answered as a conflict but applied: " + operation));
            history.keySet().forEach(operation -> assertTrue(last.isZoneOut(operation), "lost: " + operation));
            assertFalse(accepted.isEmpty());
        }
    }

    /** Polls the configuration and asserts that its version never decreases. */
    private static final class Observer {
        private final ConfigState state = ConfigState.empty();
        private final ConfigPoller poller;
        private ConfigVersion last = ConfigVersion.NONE;

        Observer(FaultyTable table, Random random) {
            ConfigHolder holder = ConfigHolder.of(state, rules -> {
                assertTrue(last.isOlderThan(rules.version()), "the version decreased from " + last);
                last = rules.version();
            });
            poller = ConfigPoller.of(table, holder, Freshness.startedAt("observer", 0), Runnable::run, random);
        }

        void tick(long nowNanos) {
            poller.tick(nowNanos);
            assertFalse(state.version().isOlderThan(last), "the version decreased");
        }
    }

    // -- conflict

    @Test
    public void shouldReportWinningVersionAndDifferenceOnConflict() {
        FaultyTable table = new FaultyTable(new Random(1), 0);
        ConfigStore store = ConfigStore.of(table, () -> 0);
        String first = "zone a out # Anil: power work\n";
        String second = first + "zone b out # Binu: flood\n";

        await(table, store.apply(ConfigVersion.NONE, first, "op-1", "anil"));
        await(table, store.apply(ConfigVersion.of(1), second, "op-2", "binu"));
        ApplyResult rejected = await(table, store.apply(ConfigVersion.of(1), "", "op-3", "cyril"));

        assertTrue(rejected instanceof ApplyResult.Conflict, rejected.toString());
        ApplyResult.Conflict conflict = (ApplyResult.Conflict) rejected;
        assertEquals(conflict.winner().version(), ConfigVersion.of(2));
        assertEquals(conflict.winner().author(), "binu");
        assertEquals(conflict.difference().lines(), List.of("+ zone b out # Binu: flood"));
        ApplyResult reused = await(table, store.apply(ConfigVersion.of(2), "", "op-2", "cyril"));
        assertEquals(reused, new ApplyResult.OperationReused(ConfigVersion.of(2)));
    }

    @Test
    public void shouldNotReapplyOverNewerVersionWhenRetriedLate() {
        FaultyTable table = new FaultyTable(new Random(1), 0);
        ConfigStore store = ConfigStore.of(table, () -> 0);
        await(table, store.edit("zone a out", text -> text.withZoneOut("a", "Anil", "work"), "op-1", "anil"));
        await(table, store.edit("zone a in", text -> text.withZoneIn("a"), "op-2", "anil"));

        ApplyResult retried =
                await(table, store.edit("zone a out", text -> text.withZoneOut("a", "Anil", "work"), "op-1", "anil"));

        assertTrue(retried instanceof ApplyResult.Applied applied && applied.repeated(), retried.toString());
        Optional<ConfigRecord> current = await(table, store.current());
        assertEquals(current.orElseThrow().text(), "");
    }

    private static <T> T await(FaultyTable table, CompletionStage<T> stage) {
        while (table.step()) {
            continue;
        }
        return stage.toCompletableFuture().join();
    }
}
