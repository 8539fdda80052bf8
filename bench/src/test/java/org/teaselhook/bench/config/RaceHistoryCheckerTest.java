package org.teaselhook.bench.config;

import java.util.List;

import org.teaselhook.bench.process.StoredChange;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class RaceHistoryCheckerTest {

    private static final StoredChange A = new StoredChange(1, "race-a");
    private static final StoredChange B = new StoredChange(2, "race-b");
    private static final String ONE = edit("race-a");
    private static final String BOTH = ONE + "zone race-b out  # ilze: race\n";

    // -- violations

    @DataProvider
    public Object[][] histories() {
        return new Object[][] {
            {List.of(A, B), BOTH, 0},
            {List.of(A, new StoredChange(3, "race-b")), BOTH, 3},
            {List.of(A, B, new StoredChange(3, "race-a")), BOTH, 2},
            {List.of(A), ONE, 1},
            {List.of(A, B), ONE, 2},
            {List.of(A, B, new StoredChange(3, "race-c")), BOTH + edit("race-c"), 1},
            {List.of(A, B), BOTH + "limit job-tasks 9  # ilze: x\n", 1},
        };
    }

    @Test(dataProvider = "histories")
    public void shouldReportEveryViolation(List<StoredChange> stored, String text, int violations) {
        RaceHistoryChecker checker = new RaceHistoryChecker();
        checker.recordAccepted("race-a", 1);
        checker.recordAccepted("race-b", 2);
        checker.recordRefused("race-c");
        checker.recordReplacement("race-b", 1, BOTH);

        assertEquals(checker.violations(stored, "", text).size(), violations);
    }

    private static String edit(String operation) {
        return "zone " + operation + " out  # harness: taken out by command\n";
    }
}
