package org.teaselhook.bench.failure;

import java.util.List;
import java.util.stream.Stream;

import org.teaselhook.bench.process.SitePlan;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class FailurePlanTest {

    private static final long MILLIS = 60_000;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {-7L}};
    }

    // -- faults

    @Test(dataProvider = "seeds")
    public void shouldDrawSameFaultsAndSubmissionsFromSameSeed(long seed) {
        assertEquals(faults(seed), faults(seed));
        assertEquals(plan(seed).zoneChanges(), plan(seed).zoneChanges());
        assertEquals(submissions(seed), submissions(seed));
    }

    @Test(dataProvider = "seeds")
    public void shouldOverlapFaultsOfDifferentSubjects(long seed) {
        List<PlannedFault> faults = faults(seed);

        assertTrue(pairs(faults).anyMatch(pair -> pair.get(0).overlaps(pair.get(1))));
        assertTrue(pairs(faults)
                .noneMatch(
                        pair -> pair.get(0).overlaps(pair.get(1)) && pair.get(0).sharesSubjectWith(pair.get(1))));
    }

    private static Stream<List<PlannedFault>> pairs(List<PlannedFault> faults) {
        return faults.stream()
                .flatMap(first ->
                        faults.stream().filter(second -> second != first).map(second -> List.of(first, second)));
    }

    private static List<PlannedFault> faults(long seed) {
        return plan(seed).faults().stream().flatMap(List::stream).toList();
    }

    private static FailurePlan plan(long seed) {
        return FailurePlan.draw(seed, SitePlan.standard(), MILLIS);
    }

    private static List<PlannedSubmission> submissions(long seed) {
        SubmissionPlan plan = SubmissionPlan.draw(seed, 3, 25);
        return Stream.generate(plan::next).limit(200).toList();
    }
}
