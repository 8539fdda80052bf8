package org.teaselhook.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public final class PlacementPolicyTest {

    private static final class Fake extends Candidate {
        private final int free;
        private final boolean near;

        Fake(int free, boolean near) {
            this.free = free;
            this.near = near;
        }

        @Override
        public int free() {
            return free;
        }

        @Override
        public boolean near() {
            return near;
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
    public void shouldPreferTheFreerAsOftenAsItDraws(PlacementPolicy policy, double expected, double tolerance) {
        CandidateSet<Fake> ready = CandidateSet.empty();
        Fake free = new Fake(5, false);
        ready.set(free, true);
        ready.set(new Fake(1, false), true);
        Random random = new Random(11);
        Map<Fake, Integer> counts = new HashMap<>();
        for (int i = 0; i < 10_000; i++) {
            counts.merge(policy.choose(ready, random), 1, Integer::sum);
        }
        assertEquals(counts.get(free) / 10_000.0, expected, tolerance);
    }

    // -- CandidateSet

    @Test
    public void shouldHoldEachMemberOnce() {
        CandidateSet<Fake> set = CandidateSet.empty();
        Fake first = new Fake(1, true);
        Fake second = new Fake(1, true);
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
