package org.teaselhook.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Checks that no task starts under a configuration that was replaced more than 3 s earlier, under network partitions,
 * suspended processes, lost messages and table service outages that are shorter than the time-out of a missing entry.
 */
public class FreshnessRandomisedTest {

    private static final int RUNS = 400;
    private static final int PHASES = 6;
    private static final long PHASE_MILLIS = 14_000;
    private static final long FAULTS_MILLIS = 8_000;
    private static final long STARTUP_MILLIS = 4_000;

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{2}, {3}, {5}};
    }

    @Test(dataProvider = "sizes")
    public void shouldNotStartUnderVersionReplacedThreeSecondsAgo(int entries) {
        for (long seed = 1; seed <= RUNS; seed++) {
            FreshnessSimulation simulation = new FreshnessSimulation(seed, entries);
            Random random = new Random(-seed);
            simulation.runUntil(STARTUP_MILLIS);
            for (int phase = 0; phase < PHASES; phase++) {
                planPhase(simulation, random);
                simulation.runUntil(simulation.now() + PHASE_MILLIS);
            }
            assertTrue(simulation.violations.isEmpty(), "seed " + seed + ": " + simulation.violations);
            assertTrue(
                    2 * simulation.freshSteps > simulation.steps,
                    "seed " + seed + ": fresh in less than half of the steps");
        }
    }

    private static void planPhase(FreshnessSimulation simulation, Random random) {
        int faults = 1 + random.nextInt(3);
        for (int i = 0; i < faults; i++) {
            planFault(simulation, random);
        }
        for (int i = 0; i < 4; i++) {
            FreshnessSimulation.Node node = any(simulation, random);
            simulation.at(simulation.now() + random.nextLong(PHASE_MILLIS), node::change);
        }
    }

    private static void planFault(FreshnessSimulation simulation, Random random) {
        long begin = simulation.now() + random.nextLong(FAULTS_MILLIS / 2);
        long end = begin + random.nextLong(FAULTS_MILLIS / 2);
        FreshnessSimulation.Node node = any(simulation, random);
        switch (random.nextInt(5)) {
            case 0 -> {
                simulation.at(begin, () -> simulation.tableUnavailable = true);
                simulation.at(end, () -> simulation.tableUnavailable = false);
            }
            case 1 -> partition(simulation, begin, end, List.of(node.name), List.of("table"));
            case 2 -> simulation.at(begin, () -> node.suspendedUntil = Math.max(node.suspendedUntil, end));
            case 3 -> simulation.at(begin, node::start);
            default -> isolateSome(simulation, random, begin, end);
        }
    }

    /** Partitions some entries from the table service and from the other entries. */
    private static void isolateSome(FreshnessSimulation simulation, Random random, long begin, long end) {
        List<String> names = simulation.nodes.stream().map(node -> node.name).toList();
        int size = 1 + random.nextInt(names.size() - 1);
        List<String> unreachable = new ArrayList<>(names.subList(size, names.size()));
        unreachable.add("table");
        partition(simulation, begin, end, names.subList(0, size), unreachable);
    }

    private static void partition(
            FreshnessSimulation simulation, long begin, long end, List<String> names, List<String> others) {
        for (String one : names) {
            for (String other : others) {
                simulation.at(begin, () -> simulation.blockedLinks.add(one + "/" + other));
                simulation.at(end, () -> simulation.blockedLinks.remove(one + "/" + other));
            }
        }
    }

    private static FreshnessSimulation.Node any(FreshnessSimulation simulation, Random random) {
        return simulation.nodes.get(random.nextInt(simulation.nodes.size()));
    }

    @Test
    public void shouldStayFreshThroughOutageWithRollingRestart() {
        FreshnessSimulation simulation = new FreshnessSimulation(1, 3);
        simulation.runUntil(STARTUP_MILLIS);
        simulation.tableUnavailable = true;
        for (FreshnessSimulation.Node node : simulation.nodes) {
            assertAllFreshUntil(simulation, simulation.now() + 20_000);
            node.start();
            simulation.runUntil(simulation.now() + STARTUP_MILLIS);
        }
        assertAllFreshUntil(simulation, simulation.now() + 60_000);
    }

    private static void assertAllFreshUntil(FreshnessSimulation simulation, long millis) {
        while (simulation.now() < millis) {
            simulation.runUntil(simulation.now() + 50);
            simulation.nodes.forEach(node -> assertTrue(node.isFresh(), node.name + " at " + simulation.now()));
        }
    }

    @Test
    public void shouldNotBecomeFreshWhenAllEntriesRestartDuringOutage() {
        FreshnessSimulation simulation = new FreshnessSimulation(1, 3);
        simulation.runUntil(STARTUP_MILLIS);
        simulation.tableUnavailable = true;
        simulation.nodes.forEach(FreshnessSimulation.Node::start);
        long freshStepsBefore = simulation.freshSteps;
        simulation.runUntil(60_000);

        assertEquals(simulation.freshSteps, freshStepsBefore);
    }

    @Test
    public void shouldRecoverOnlyMajorityWhenPartitionedDuringOutage() {
        FreshnessSimulation simulation = new FreshnessSimulation(1, 5);
        simulation.runUntil(STARTUP_MILLIS);
        simulation.tableUnavailable = true;
        partition(
                simulation,
                simulation.now(),
                1_000_000,
                List.of("entry-0", "entry-1"),
                List.of("entry-2", "entry-3", "entry-4"));
        simulation.runUntil(simulation.now() + 5_000);
        simulation.nodes.forEach(node -> assertTrue(!node.isFresh(), node.name));

        simulation.runUntil(simulation.now() + 60_000);
        simulation.nodes.forEach(node -> assertEquals(node.isFresh(), node.name.compareTo("entry-2") >= 0, node.name));
    }
}
