package org.teaselhook.core.claim;

import java.util.List;
import java.util.stream.LongStream;

import org.teaselhook.core.claim.LedgerEvent.Kind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

public class LedgerRandomTest {

    private static final long RUN_MILLIS = 150_000;
    private static final int SEEDS = Integer.getInteger("ledger.seeds", 12);
    private static final List<Kind> EXPECTED_EVENTS =
            List.of(Kind.CONFLICT, Kind.UNSETTLED, Kind.SETTLED, Kind.TRIMMED, Kind.BREAKER_OPENED);

    @DataProvider
    public Object[][] seeds() {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void shouldNotGrantKeyTwiceUnderFaults(long seed) {
        LedgerSimulation simulation = new LedgerSimulation(seed);
        ClaimHistory history = simulation.run(RUN_MILLIS);
        String summary = "seed " + seed + " acquired " + history.acquired() + " reacquired " + history.reacquired()
                + " reused " + history.reused() + " certain lookups " + simulation.certainLookups() + " "
                + simulation.events();
        System.out.println(summary);
        assertTrue(history.acquired() > 0 && history.reused() > 0 && simulation.certainLookups() > 0, summary);
        EXPECTED_EVENTS.forEach(kind -> assertTrue(simulation.events().getOrDefault(kind, 0) > 0, summary));
    }
}
