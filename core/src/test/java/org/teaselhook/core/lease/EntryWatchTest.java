package org.teaselhook.core.lease;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.id.Incarnation;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class EntryWatchTest {

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long START = TimeUnit.SECONDS.toNanos(100);
    private static final Incarnation ENTRY = Incarnation.of(7);

    private final EntryWatch detector = EntryWatch.empty();

    /** Guards against a check before an entry's first echo, after which the entry's later silence went undetected. */
    @Test
    public void shouldDetectTimeoutOfEntryThatEchoesAfterFirstCheck() {
        assertEquals(detector.takeSilent(START), List.of());
        detector.echoed(ENTRY, START + 10 * MILLI);
        assertEquals(detector.takeSilent(START + 510 * MILLI), List.of());

        assertEquals(detector.takeSilent(START + 511 * MILLI), List.of(ENTRY));
        assertEquals(detector.takeSilent(START + 600 * MILLI), List.of());
    }

    @Test
    public void shouldDetectTimeoutAgainAfterNewEcho() {
        detector.echoed(ENTRY, START);
        assertEquals(detector.takeSilent(START + 600 * MILLI), List.of(ENTRY));
        detector.echoed(ENTRY, START + 700 * MILLI);

        assertEquals(detector.takeSilent(START + 1_300 * MILLI), List.of(ENTRY));
    }

    @Test
    public void shouldUseNewestEchoWhenEchoesArriveOutOfOrder() {
        detector.echoed(ENTRY, START + 300 * MILLI);
        detector.echoed(ENTRY, START);

        assertEquals(detector.takeSilent(START + 700 * MILLI), List.of());
        detector.takeSilent(START + 2_000 * MILLI);
    }

    @DataProvider
    public Object[][] ages() {
        return new Object[][] {{-1, true}, {0, false}, {500, false}, {501, true}};
    }

    @Test(dataProvider = "ages")
    public void shouldTreatOldOrFutureEchoAsStale(long ageMillis, boolean expected) {
        assertEquals(EntryWatch.isStale(START - ageMillis * MILLI, START), expected);
    }
}
