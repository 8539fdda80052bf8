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

/** Random interleavings of late, repeated and reordered dispatches, status queries, cancellations and retirements. */
public class AdmissionHistoryTest {

    private static final Incarnation AGENT = Incarnation.of(99);
    private static final int STEPS = 20_000;
    private static final int NUMBERS = 3_000;
    private static final long START_NANOS = 10L * Admission.MAX_HEARTBEAT_AGE_NANOS;

    @DataProvider
    public static Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
    }

    @Test(dataProvider = "seeds")
    public void shouldNeverStartTwiceNorAfterRefusal(long seed) {
        Random random = new Random(seed);
        Admission admission = Admission.of(AGENT);
        Map<Incarnation, Set<Long>> startedByEntry = new HashMap<>();
        Map<Incarnation, Set<Long>> refusedByEntry = new HashMap<>();
        long nowNanos = START_NANOS;
        for (int step = 0; step < STEPS; step++) {
            nowNanos += random.nextInt(10_000_000);
            Incarnation entry = Incarnation.of(1 + random.nextInt(2));
            Set<Long> started = startedByEntry.computeIfAbsent(entry, e -> new HashSet<>());
            Set<Long> refused = refusedByEntry.computeIfAbsent(entry, e -> new HashSet<>());
            long number = Math.max(0, step / 8L * 100 + random.nextInt(NUMBERS) - NUMBERS / 2);
            int action = random.nextInt(100);
            if (action < 70) {
                AdmissionDecision decision =
                        admission.decide(request(random, entry, number, nowNanos), conditions(random), nowNanos);
                if (decision instanceof AdmissionDecision.Start) {
                    assertTrue(started.add(number), "started twice, seed " + seed + " step " + step);
                    assertTrue(!refused.contains(number), "started after a refusal, seed " + seed + " step " + step);
                } else if (decision instanceof AdmissionDecision.Refuse) {
                    refused.add(number);
                }
            } else if (action < 90) {
                DispatchStatus status = admission.resolve(entry, number);
                if (started.contains(number)) {
                    assertNotEquals(status, DispatchStatus.NOT_STARTED, "seed " + seed + " step " + step);
                } else if (status == DispatchStatus.NOT_STARTED) {
                    refused.add(number);
                }
            } else if (action < 99) {
                if (admission.cancel(entry, number)) {
                    assertTrue(!started.contains(number), "cancelled a started task, seed " + seed + " step " + step);
                    refused.add(number);
                }
            } else {
                admission.retire(entry);
            }
        }
        assertTrue(startedByEntry.values().stream().allMatch(numbers -> numbers.size() > 100));
    }

    private static StartRequest request(Random random, Incarnation entry, long number, long nowNanos) {
        long echo = nowNanos - random.nextInt((int) (Admission.MAX_HEARTBEAT_AGE_NANOS * 5 / 8)) * 2L;
        long startBy = nowNanos + random.nextInt(1_000_000_000) - 100_000_000;
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
