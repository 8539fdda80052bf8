package org.teaselhook.bench.config;

import java.util.List;

import org.teaselhook.bench.process.KeptChange;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class RaceLedgerTest {

    private static final KeptChange A = new KeptChange(1, "race-a");
    private static final KeptChange B = new KeptChange(2, "race-b");
    private static final String BOTH = "zone race-a out # A: x\nzone race-b out # B: x\n";

    // -- violations

    @DataProvider
    public Object[][] histories() {
        return new Object[][] {
            {List.of(A, B), BOTH, 0},
            {List.of(A, new KeptChange(3, "race-b")), BOTH, 2},
            {List.of(A, B, new KeptChange(3, "race-a")), BOTH, 2},
            {List.of(A), BOTH, 1},
            {List.of(A, B), "zone race-a out # A: x\n", 1},
            {List.of(A, B, new KeptChange(3, "race-c")), BOTH + "zone race-c out # C: x\n", 1},
        };
    }

    @Test(dataProvider = "histories")
    public void shouldNameEveryViolation(List<KeptChange> kept, String text, int violations) {
        RaceLedger ledger = new RaceLedger();
        ledger.accepted("race-a", 1);
        ledger.accepted("race-b", 2);
        ledger.refused("race-c");

        assertEquals(ledger.violations(kept, text).size(), violations);
    }
}
