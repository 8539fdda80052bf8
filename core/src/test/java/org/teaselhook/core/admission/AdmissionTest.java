package org.teaselhook.core.admission;

import org.teaselhook.core.dispatch.RefusalReason;
import org.teaselhook.core.id.Incarnation;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class AdmissionTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 1_000 * SECOND;
    private static final long CONFIG = 7;
    private static final Incarnation AGENT = Incarnation.of(1);
    private static final Incarnation EARLIER_RUN = Incarnation.of(2);
    private static final Incarnation ENTRY = Incarnation.of(3);
    private static final Incarnation OTHER_ENTRY = Incarnation.of(4);
    private static final StartConditions READY = new StartConditions(CONFIG, false, false, true, 8);

    private final AdmissionDecision.Start expectedStart = new AdmissionDecision.Start(NOW + SECOND);

    // -- decide

    @DataProvider
    public static Object[][] refused() {
        return new Object[][] {
            {RefusalReason.WRONG_INCARNATION, request(EARLIER_RUN, NOW, NOW + SECOND, CONFIG), READY},
            {RefusalReason.CONFIG_UNKNOWN, request(AGENT, NOW, NOW + SECOND, CONFIG + 1), READY},
            {RefusalReason.CONFIG_UNKNOWN, request(AGENT, NOW, NOW + SECOND, 0), conditions(0, false, false, true, 8)},
            {RefusalReason.ZONE_OUT, request(AGENT, NOW, NOW + SECOND, CONFIG), conditions(CONFIG, true, false, true, 8)
            },
            {RefusalReason.LEAVING, request(AGENT, NOW, NOW + SECOND, CONFIG), conditions(CONFIG, false, true, true, 8)
            },
            {
                RefusalReason.NO_TARGET,
                request(AGENT, NOW, NOW + SECOND, CONFIG),
                conditions(CONFIG, false, false, false, 8)
            },
            {
                RefusalReason.NO_FREE_SLOT,
                request(AGENT, NOW, NOW + SECOND, CONFIG),
                conditions(CONFIG, false, false, true, 0)
            },
            {RefusalReason.START_BY_PASSED, request(AGENT, NOW, NOW, CONFIG), READY},
            {RefusalReason.STALE_ENTRY, request(AGENT, NOW - 2 * SECOND - 1, NOW + SECOND, CONFIG), READY},
            {RefusalReason.STALE_ENTRY, request(AGENT, NOW + 1, NOW + SECOND, CONFIG), READY},
        };
    }

    @Test(dataProvider = "refused")
    public void shouldRefuseAndTreatRepetitionAsDuplicate(
            RefusalReason reason, StartRequest request, StartConditions conditions) {
        Admission admission = Admission.of(AGENT);

        assertEquals(admission.decide(request, conditions, NOW), new AdmissionDecision.Refuse(reason));

        StartRequest valid = request(AGENT, NOW, NOW + SECOND, CONFIG);
        assertEquals(admission.decide(valid, READY, NOW), AdmissionDecision.Duplicate.INSTANCE);
        assertEquals(admission.resolve(ENTRY, valid.dispatch()), DispatchStatus.NOT_STARTED);
        assertEquals(admission.startedCount(), 0);
    }

    @Test
    public void shouldStartOnceWhenEveryConditionHolds() {
        Admission admission = Admission.of(AGENT);
        StartRequest request = request(AGENT, NOW - 2 * SECOND, NOW + SECOND, CONFIG);

        assertEquals(admission.decide(request, READY, NOW), new AdmissionDecision.Start(NOW));
        assertEquals(admission.decide(request, READY, NOW), AdmissionDecision.Duplicate.INSTANCE);
        assertEquals(admission.resolve(ENTRY, request.dispatch()), DispatchStatus.STARTED);
    }

    @Test
    public void shouldTrackNumbersOfEachEntrySeparately() {
        Admission admission = Admission.of(AGENT);

        assertEquals(admission.decide(request(ENTRY, 5), READY, NOW), expectedStart);
        assertEquals(admission.decide(request(OTHER_ENTRY, 5), READY, NOW), expectedStart);
        admission.acknowledge(ENTRY, 5);
        assertEquals(admission.resolve(OTHER_ENTRY, 5), DispatchStatus.STARTED);
    }

    /** The agent was suspended for 10 s while the entry's dispatches and heartbeats were buffered. */
    @Test
    public void shouldRefuseBufferedDispatchesWhenFrozenProcessResumes() {
        Admission admission = Admission.of(AGENT);
        long resumedNanos = NOW + 10 * SECOND;

        for (long dispatch = 1; dispatch <= 20; dispatch++) {
            long sentNanos = NOW + dispatch * SECOND / 10;
            StartRequest buffered =
                    new StartRequest(ENTRY, dispatch, AGENT, sentNanos, resumedNanos + 60 * SECOND, CONFIG);
            assertEquals(
                    admission.decide(buffered, READY, resumedNanos),
                    new AdmissionDecision.Refuse(RefusalReason.STALE_ENTRY));
        }
        StartRequest fresh = new StartRequest(ENTRY, 21, AGENT, resumedNanos, resumedNanos + SECOND, CONFIG);
        assertEquals(admission.decide(fresh, READY, resumedNanos), new AdmissionDecision.Start(resumedNanos + SECOND));
    }

    @Test
    public void shouldLimitStartByTimeToMaximumHeartbeatAge() {
        Admission admission = Admission.of(AGENT);
        StartRequest request = request(AGENT, NOW - SECOND, NOW + 60 * SECOND, CONFIG);

        assertEquals(admission.decide(request, READY, NOW), new AdmissionDecision.Start(NOW + SECOND));
    }

    @Test
    public void shouldRefuseWhenZoneGoesOutBetweenTwoDispatches() {
        Admission admission = Admission.of(AGENT);

        assertEquals(admission.decide(request(ENTRY, 1), READY, NOW), expectedStart);
        StartConditions zoneOut = conditions(CONFIG + 1, true, false, true, 7);
        assertEquals(
                admission.decide(request(ENTRY, 2), zoneOut, NOW),
                new AdmissionDecision.Refuse(RefusalReason.ZONE_OUT));
    }

    // -- resolve

    @Test
    public void shouldNotStartLateDispatchAfterReportingItNotStarted() {
        Admission admission = Admission.of(AGENT);

        assertEquals(admission.resolve(ENTRY, 9), DispatchStatus.NOT_STARTED);
        assertEquals(admission.decide(request(ENTRY, 9), READY, NOW), AdmissionDecision.Duplicate.INSTANCE);
        assertEquals(admission.decide(request(ENTRY, 8), READY, NOW), expectedStart);
    }

    @Test
    public void shouldReportNotStartedWhenTaskDidNotReachTarget() {
        Admission admission = Admission.of(AGENT);
        admission.decide(request(ENTRY, 1), READY, NOW);

        admission.withdraw(ENTRY, 1);

        assertEquals(admission.resolve(ENTRY, 1), DispatchStatus.NOT_STARTED);
        assertEquals(admission.decide(request(ENTRY, 1), READY, NOW), AdmissionDecision.Duplicate.INSTANCE);
    }

    // -- cancel

    @Test
    public void shouldCancelOnlyDispatchThatHasNotArrived() {
        Admission admission = Admission.of(AGENT);
        admission.decide(request(ENTRY, 1), READY, NOW);

        assertFalse(admission.cancel(ENTRY, 1));
        assertTrue(admission.cancel(ENTRY, 2));
        assertEquals(admission.decide(request(ENTRY, 2), READY, NOW), AdmissionDecision.Duplicate.INSTANCE);
    }

    // -- retire

    @Test
    public void shouldReportForgottenAfterEntryIsRetired() {
        Admission admission = Admission.of(AGENT);
        admission.decide(request(ENTRY, 70_000), READY, NOW);

        admission.retire(ENTRY);

        assertEquals(admission.resolve(ENTRY, 70_000), DispatchStatus.FORGOTTEN);
        assertEquals(admission.decide(request(ENTRY, 3), READY, NOW), AdmissionDecision.Duplicate.INSTANCE);
        assertEquals(admission.decide(request(ENTRY, 70_001), READY, NOW), expectedStart);
    }

    // -- replay window

    @DataProvider
    public static Object[][] jumps() {
        long window = ReplayWindow.WINDOW_SIZE;
        return new Object[][] {{1}, {63}, {64}, {window - 1}, {window}, {3 * window + 17}, {Long.MAX_VALUE - 200}};
    }

    @Test(dataProvider = "jumps")
    public void shouldTreatNumbersBelowWindowAsDuplicates(long jump) {
        Admission admission = Admission.of(AGENT);
        admission.decide(request(ENTRY, 100), READY, NOW);

        assertEquals(admission.decide(request(ENTRY, 100 + jump), READY, NOW), expectedStart);

        assertEquals(admission.decide(request(ENTRY, 100), READY, NOW), AdmissionDecision.Duplicate.INSTANCE);
        assertEquals(admission.decide(request(ENTRY, 100 + jump), READY, NOW), AdmissionDecision.Duplicate.INSTANCE);
        assertEquals(admission.resolve(ENTRY, 100), DispatchStatus.STARTED);
        assertEquals(admission.decide(request(ENTRY, -1), READY, NOW), AdmissionDecision.Duplicate.INSTANCE);
    }

    @Test(dataProvider = "jumps")
    public void shouldStartUnseenNumbersWithinWindowAfterJump(long jump) {
        Admission admission = Admission.of(AGENT);
        for (long dispatch = 0; dispatch < 200; dispatch++) {
            admission.decide(request(ENTRY, dispatch), READY, NOW);
        }
        admission.decide(request(ENTRY, 199 + jump), READY, NOW);

        for (long dispatch = Math.max(200, jump - 800); dispatch < 199 + jump; dispatch++) {
            assertEquals(admission.decide(request(ENTRY, dispatch), READY, NOW), expectedStart, "number " + dispatch);
        }
    }

    private static StartRequest request(Incarnation entry, long dispatch) {
        return new StartRequest(entry, dispatch, AGENT, NOW, NOW + SECOND, CONFIG);
    }

    private static StartRequest request(Incarnation agent, long echoNanos, long startByNanos, long config) {
        return new StartRequest(ENTRY, 11, agent, echoNanos, startByNanos, config);
    }

    private static StartConditions conditions(
            long config, boolean zoneOut, boolean leaving, boolean targetAvailable, int freeSlots) {
        return new StartConditions(config, zoneOut, leaving, targetAvailable, freeSlots);
    }
}
