package org.teaselhook.core.config;

import java.util.List;
import java.util.OptionalLong;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.rules.Rules;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class FreshnessTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long UNCONFIRMED = -1;
    private static final ConfigVersion SEVEN = ConfigVersion.of(7);
    private static final ConfigVersion EIGHT = ConfigVersion.of(8);

    private ConfigState state;
    private Freshness freshness;

    @BeforeMethod
    public void start() {
        state = ConfigState.empty();
        freshness = Freshness.startedAt("entry-1", Long.MAX_VALUE - SECOND);
    }

    // -- status

    @Test
    public void shouldNotBeLoadedBeforeFirstRead() {
        assertStatus(FreshnessStatus.NEVER_LOADED, 10_000);
    }

    @Test
    public void shouldConfirmAsOfTimeReadWasSent() {
        state.offer(version(SEVEN));
        freshness.tableRead(state, SEVEN, at(1_000));

        assertStatus(FreshnessStatus.FRESH, 4_000);
        assertStatus(FreshnessStatus.STALE, 4_001);
        freshness.tableRead(state, SEVEN, at(500));
        assertStatus(FreshnessStatus.STALE, 4_001);
    }

    @Test
    public void shouldStayFreshByReportsOfPeersDuringOutage() {
        state.offer(version(SEVEN));
        freshness.tableRead(state, SEVEN, at(0));
        freshness.entriesListed(List.of(entry("entry-1"), entry("entry-2")), at(0));
        freshness.tableFailed();
        reported("entry-2", SEVEN, UNCONFIRMED, 3_500);

        assertStatus(FreshnessStatus.FRESH, 6_500);
        assertStatus(FreshnessStatus.STALE, 6_501);
    }

    @Test
    public void shouldNotExtendForwardedConfirmation() {
        state.offer(version(SEVEN));
        freshness.tableRead(state, SEVEN, at(0));
        reported("entry-2", SEVEN, 1_200, 2_000);

        assertStatus(FreshnessStatus.FRESH, 3_800);
        assertStatus(FreshnessStatus.STALE, 3_801);
        assertEquals(freshness.confirmedAgeNanos(at(2_100)), OptionalLong.of(1_300_000_000L));
        assertEquals(freshness.confirmedAgeNanos(at(3_801)), OptionalLong.empty());
    }

    @Test
    public void shouldAcceptUnconfirmedPeersOnlyWhenAllReport() {
        state.offer(version(SEVEN));
        freshness.tableRead(state, SEVEN, at(0));
        freshness.entriesListed(List.of(entry("entry-1"), entry("entry-2"), entry("entry-3")), at(0));
        freshness.tableFailed();
        reported("entry-2", SEVEN, UNCONFIRMED, 2_500);
        assertStatus(FreshnessStatus.STALE, 3_001);

        reported("entry-3", SEVEN, UNCONFIRMED, 3_100);
        assertStatus(FreshnessStatus.FRESH, 5_500);
        assertStatus(FreshnessStatus.STALE, 5_501);
    }

    @Test
    public void shouldNotConfirmWhileTextOfNewerVersionIsMissing() {
        state.offer(version(SEVEN));
        freshness.tableRead(state, SEVEN, at(0));
        reported("entry-2", EIGHT, 0, 2_000);
        freshness.tableRead(state, SEVEN, at(2_500));
        assertStatus(FreshnessStatus.STALE, 3_001);

        state.offer(version(EIGHT));
        reported("entry-2", SEVEN, 0, 3_100);
        assertStatus(FreshnessStatus.FRESH, 6_000);
    }

    @Test
    public void shouldLoadOnlyHighestVersionOfPeersWhenStartedDuringOutage() {
        state.offer(version(SEVEN));
        reported("entry-2", SEVEN, 0, 1_900);
        assertStatus(FreshnessStatus.NEVER_LOADED, 2_500);

        freshness.tableFailed();
        assertStatus(FreshnessStatus.NEVER_LOADED, 1_999);
        assertStatus(FreshnessStatus.FRESH, 2_000);
        reported("entry-2", EIGHT, 0, 2_100);
        assertStatus(FreshnessStatus.NEVER_LOADED, 2_200);
        state.offer(version(EIGHT));
        reported("entry-2", EIGHT, 0, 2_300);
        assertStatus(FreshnessStatus.FRESH, 2_400);
    }

    @Test
    public void shouldNotRelyOnPeerWithoutConfiguration() {
        freshness.tableFailed();
        reported("entry-2", ConfigVersion.NONE, 0, 2_900);

        assertStatus(FreshnessStatus.NEVER_LOADED, 3_000);
    }

    // -- ConfigState

    @Test
    public void shouldNotDecreaseVersionNorAcceptDifferentTextOfSameVersion() {
        assertEquals(state.offer(version(EIGHT)), ConfigOfferResult.APPLIED);
        assertEquals(state.offer(version(SEVEN)), ConfigOfferResult.OLDER);
        assertEquals(state.offer(version(EIGHT)), ConfigOfferResult.ALREADY_HELD);
        VersionedRules other = new VersionedRules(EIGHT, "# other\n", "op", Rules.empty());
        assertEquals(state.offer(other), ConfigOfferResult.CONTRADICTS);
        assertEquals(state.current(), version(EIGHT));
    }

    private void reported(String name, ConfigVersion version, long ageMillis, long millis) {
        OptionalLong age = ageMillis == UNCONFIRMED ? OptionalLong.empty() : OptionalLong.of(ageMillis * 1_000_000);
        freshness.peerReported(state, new PeerReport(entry(name), version, false, age), at(millis), at(millis));
    }

    private static KnownEntry entry(String name) {
        return new KnownEntry(name, Incarnation.of(name.hashCode()));
    }

    private void assertStatus(FreshnessStatus expected, long millis) {
        assertEquals(freshness.status(at(millis)), expected);
    }

    /** The clock overflows during the test, as {@link System#nanoTime} may. */
    private static long at(long millis) {
        return Long.MAX_VALUE - SECOND + millis * 1_000_000;
    }

    private static VersionedRules version(ConfigVersion version) {
        return new VersionedRules(version, "# " + version + "\n", "op-" + version, Rules.empty());
    }
}
