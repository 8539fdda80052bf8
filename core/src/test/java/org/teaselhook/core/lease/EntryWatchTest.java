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

    private final EntryWatch watch = EntryWatch.empty();

    /** The first look came before the first echo: the entry was forgotten, and its later silence went unnoticed. */
    @Test
    public void shouldNoticeSilenceOfEntryThatHadEchoedNothingAtFirst() {
        assertEquals(watch.takeSilent(START), List.of());
        watch.echoed(ENTRY, START + 10 * MILLI);
        assertEquals(watch.takeSilent(START + 510 * MILLI), List.of());

        assertEquals(watch.takeSilent(START + 511 * MILLI), List.of(ENTRY));
        assertEquals(watch.takeSilent(START + 600 * MILLI), List.of());
    }

    @Test
    public void shouldNoticeEachSilenceAnew() {
        watch.echoed(ENTRY, START);
        assertEquals(watch.takeSilent(START + 600 * MILLI), List.of(ENTRY));
        watch.echoed(ENTRY, START + 700 * MILLI);

        assertEquals(watch.takeSilent(START + 1_300 * MILLI), List.of(ENTRY));
    }

    @Test
    public void shouldCountNewestEchoThoughAnOlderOneArrivesLater() {
        watch.echoed(ENTRY, START + 300 * MILLI);
        watch.echoed(ENTRY, START);

        assertEquals(watch.takeSilent(START + 700 * MILLI), List.of());
        watch.takeSilent(START + 2_000 * MILLI);
    }

    @DataProvider
    public Object[][] ages() {
        return new Object[][] {{-1, true}, {0, false}, {500, false}, {501, true}};
    }

    @Test(dataProvider = "ages")
    public void shouldRefuseOrdersThatRestOnOldEchoes(long ageMillis, boolean expected) {
        assertEquals(EntryWatch.isStale(START - ageMillis * MILLI, START), expected);
    }
}
