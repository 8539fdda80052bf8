package org.teaselhook.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public final class PlacementPolicyTest {

    private static final class FakeCandidate extends Candidate {
        private final int freeSlots;
        private final boolean inSameZone;

        FakeCandidate(int freeSlots, boolean inSameZone) {
            this.freeSlots = freeSlots;
            this.inSameZone = inSameZone;
        }

        @Override
        public int freeSlots() {
            return freeSlots;
        }

        @Override
        public boolean isInSameZone() {
            return inSameZone;
        }
    }

    // -- choose

    @DataProvider
    public Object[][] shares() {
        return new Object[][] {
            {PlacementPolicy.RANDOM, 0.5, 0.02},
            {PlacementPolicy.LEAST_OF_TWO, 0.75, 0.02},
            {PlacementPolicy.GRANTS, 0.875, 0.02},
        };
    }

    @Test(dataProvider = "shares")
    public void shouldChooseFreerWorkerWithExpectedProbability(
            PlacementPolicy policy, double expected, double tolerance) {
        CandidateSet<FakeCandidate> ready = CandidateSet.empty();
        FakeCandidate freer = new FakeCandidate(5, false);
        ready.set(freer, true);
        ready.set(new FakeCandidate(1, false), true);
        Random random = new Random(11);
        Map<FakeCandidate, Integer> counts = new HashMap<>();
        for (int i = 0; i < 10_000; i++) {
            counts.merge(policy.choose(ready, random), 1, Integer::sum);
        }
        assertEquals(counts.get(freer) / 10_000.0, expected, tolerance);
    }

    // -- CandidateSet

    @Test
    public void shouldHoldEachMemberOnce() {
        CandidateSet<FakeCandidate> set = CandidateSet.empty();
        FakeCandidate first = new FakeCandidate(1, true);
        FakeCandidate second = new FakeCandidate(1, true);
        set.set(first, true);
        set.set(first, true);
        set.set(second, true);
        assertEquals(set.size(), 2);
        set.set(first, false);
        set.set(first, false);
        assertEquals(set.draw(new Random(1)), second);
        set.set(second, false);
        assertTrue(set.isEmpty());
    }
}
