package org.teaselhook.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.teaselhook.core.id.Incarnation;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/** Random interleavings of late, repeated and reordered dispatches, settlements, cancels and retirements. */
public class AdmissionHistoryTest {

    private static final Incarnation AGENT = Incarnation.of(99);
    private static final int STEPS = 20_000;
    private static final int NUMBERS = 3_000;
    private static final long FAR = 10L * Admission.FRESH_NANOS;

    @DataProvider
    public static Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
    }

    @Test(dataProvider = "seeds")
    public void shouldNeverStartTwiceNorStartWhatWasSaidNotStarted(long seed) {
        Random random = new Random(seed);
        Admission admission = Admission.of(AGENT);
        Map<Incarnation, Set<Long>> started = new HashMap<>();
        Map<Incarnation, Set<Long>> said = new HashMap<>();
        long now = FAR;
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(10_000_000);
            Incarnation entry = Incarnation.of(1 + random.nextInt(2));
            Set<Long> ran = started.computeIfAbsent(entry, e -> new HashSet<>());
            Set<Long> refused = said.computeIfAbsent(entry, e -> new HashSet<>());
            long number = Math.max(0, step / 8L * 100 + random.nextInt(NUMBERS) - NUMBERS / 2);
            int action = random.nextInt(100);
            if (action < 70) {
                Verdict verdict = admission.decide(request(random, entry, number, now), conditions(random), now);
                if (verdict instanceof Verdict.Start) {
                    assertTrue(ran.add(number), "started twice, seed " + seed + " step " + step);
                    assertTrue(!refused.contains(number), "started after a refusal, seed " + seed + " step " + step);
                } else if (verdict instanceof Verdict.Refuse) {
                    refused.add(number);
                }
            } else if (action < 90) {
                Settlement settlement = admission.settle(entry, number);
                if (ran.contains(number)) {
                    assertNotEquals(settlement, Settlement.NOT_STARTED, "seed " + seed + " step " + step);
                } else if (settlement == Settlement.NOT_STARTED) {
                    refused.add(number);
                }
            } else if (action < 99) {
                if (admission.cancel(entry, number)) {
                    assertTrue(!ran.contains(number), "cancelled a start, seed " + seed + " step " + step);
                    refused.add(number);
                }
            } else {
                admission.retire(entry);
            }
        }
        assertTrue(started.values().stream().allMatch(numbers -> numbers.size() > 100));
    }

    private static StartRequest request(Random random, Incarnation entry, long number, long now) {
        long echo = now - random.nextInt((int) (Admission.FRESH_NANOS * 5 / 8)) * 2L;
        long startBy = now + random.nextInt(1_000_000_000) - 100_000_000;
        Incarnation agent = random.nextInt(50) == 0 ? Incarnation.of(98) : AGENT;
        return new StartRequest(entry, number, agent, echo, startBy, 5);
    }

    private static StartConditions conditions(Random random) {
        return new StartConditions(
                random.nextInt(20) == 0 ? 4 : 5,
                random.nextInt(20) == 0,
                random.nextInt(20) == 0,
                random.nextInt(20) != 0,
                random.nextInt(20) == 0 ? 0 : 8);
    }
}
