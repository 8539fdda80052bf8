package org.teaselhook.app.explain;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RequestTimelineTest {

    private static final String TIME_PREFIX = "2026-12-04T07:00:";

    @Test
    public void shouldListRequestLinesAndRelatedEventsInTimeOrder() {
        RequestTimeline timeline = RequestTimeline.of("ab12");
        timeline.add(
                "edge-1",
                TIME_PREFIX + "01.000 level=INFO thread=c event=job-placed job=ab12 task=ab12.0.0.0 worker=side-2");
        timeline.add("edge-1", TIME_PREFIX + "01.900 level=WARN thread=c event=agent-lost agent=side-2 reason=silent");
        timeline.add(
                "side-2",
                TIME_PREFIX + "01.005 level=INFO thread=c event=start-answered task=ab12.0.0.0 result=STARTED");
        timeline.add(
                "edge-1", TIME_PREFIX + "02.500 level=WARN thread=c event=job-given-up job=ab12 reason=\"not done\"");

        assertEquals(
                timeline.format(2_000).stream()
                        .map(line -> line.substring(0, 8))
                        .toList(),
                List.of("* edge-1", "* side-2", "  edge-1", "* edge-1"));
    }

    @Test
    public void shouldExcludeOtherProcessesTimesAndRequests() {
        RequestTimeline timeline = RequestTimeline.of("ab12");
        timeline.add("edge-1", TIME_PREFIX + "01.000 level=INFO thread=c event=job-placed job=ab12 worker=side-2");
        timeline.add("edge-1", TIME_PREFIX + "30.000 level=WARN thread=c event=store-lost reason=x");
        timeline.add("edge-3", TIME_PREFIX + "01.000 level=WARN thread=c event=store-lost reason=x");
        timeline.add("edge-1", TIME_PREFIX + "01.000 level=INFO thread=c event=job-placed job=cd34 worker=side-2");

        assertEquals(timeline.format(2_000).size(), 1);
    }

    @Test
    public void shouldCountUnreadableLines() {
        RequestTimeline timeline = RequestTimeline.of("ab12");
        timeline.add("edge-1", "\u0000\u0001 not a line ab12");
        timeline.add("edge-1", "2026-99-99T07:00:01 level=INFO thread=c event=x ab12");
        timeline.add("edge-1", "   7.1 edge-1 " + TIME_PREFIX + "01.000 level=INFO thread=c event=job-placed job=ab12");

        assertEquals(timeline.unreadableCount(), 2);
        assertEquals(timeline.lineCount(), 3);
        assertEquals(timeline.format(0).size(), 1);
    }

    @Test
    public void shouldReturnNoLinesForUnknownRequest() {
        assertTrue(RequestTimeline.of("ab12").format(1_000).isEmpty());
    }
}
