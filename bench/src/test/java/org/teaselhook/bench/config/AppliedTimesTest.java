package org.teaselhook.bench.config;

import java.util.List;
import java.util.OptionalLong;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class AppliedTimesTest {

    // -- of

    @Test
    public void shouldReadLinesOfEntriesAndAgentsAndSkippedVersions() {
        AppliedTimes entry = AppliedTimes.of(List.of(
                "2026-12-04T04:05:21.293 level=INFO thread=c event=config-applied version=1 operation=a zones-out=[]",
                "2026-12-04T04:05:22.300 level=INFO thread=c event=config-change operation=b status=200",
                "2026-12-04T04:05:22.301 level=INFO thread=c event=config-applied version=3 operation=b zones-out=[]"));
        AppliedTimes agent = AppliedTimes.of(
                List.of("2026-12-04T04:05:21.557 level=INFO thread=c event=configuration version=1 zone_out=false"));

        assertEquals(entry.atLeast(2), entry.atLeast(3));
        assertEquals(entry.atLeast(4), OptionalLong.empty());
        assertEquals(agent.atLeast(1).orElse(0) - entry.atLeast(1).orElse(0), 264);
    }

    // -- regressions

    @Test
    public void shouldReportRegressionsWithinOneRunOnly() {
        List<String> lines = List.of(
                "2026-12-04T04:05:21.293 level=INFO thread=c event=config-applied version=2 operation=a zones-out=[]",
                "2026-12-04T04:05:22.293 level=INFO thread=main event=entry-started name=entry-1 zone=cesis",
                "2026-12-04T04:05:23.293 level=INFO thread=c event=config-applied version=1 operation=a zones-out=[]",
                "2026-12-04T04:05:24.293 level=INFO thread=c event=config-applied version=1 operation=a zones-out=[]");

        assertEquals(AppliedTimes.regressions("entry-1", lines).size(), 1);
    }
}
