package org.teaselhook.node.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class TickScheduleTest {

    private static final long MILLI = 1_000_000L;

    private final List<String> ran = new ArrayList<>();
    private TickSchedule schedule;
    private long deadline;

    @BeforeMethod
    public void create() {
        ran.clear();
        schedule = new TickSchedule();
        deadline = Long.MAX_VALUE;
    }

    // -- periodic ticks

    @DataProvider
    public Object[][] timesOfTick() {
        return new Object[][] {{0, 0}, {98, 0}, {99, 1}, {100, 1}, {350, 1}};
    }

    @Test(dataProvider = "timesOfTick")
    public void shouldRunTickWhenDueAndAtMostOneMillisecondEarly(long atMillis, int expected) {
        schedule.add(0, 100 * MILLI, now -> ran.add("tick"));
        run(atMillis * MILLI);
        assertEquals(ran.size(), expected);
    }

    @Test
    public void shouldCoalesceTicksDueCloseTogether() {
        schedule.add(0, 100 * MILLI, now -> ran.add("fast"));
        schedule.add(MILLI / 2, 500 * MILLI, now -> ran.add("slow"));
        run(500 * MILLI);
        assertEquals(ran, List.of("fast", "slow"));
    }

    // -- deadlines

    @Test
    public void shouldSleepUntilEarlierOfTickAndDeadline() {
        schedule.add(0, 100 * MILLI, now -> {});
        schedule.add(() -> deadline, now -> {});
        assertEquals(schedule.nanosUntilDue(0), 100 * MILLI);
        deadline = 7 * MILLI;
        assertEquals(schedule.nanosUntilDue(0), 7 * MILLI);
        assertEquals(schedule.nanosUntilDue(8 * MILLI), 0);
    }

    @Test
    public void shouldRunDeadlineWhenDueAndNotEarlier() {
        schedule.add(() -> deadline, now -> {
            ran.add("deadline");
            deadline = Long.MAX_VALUE;
        });
        deadline = 7 * MILLI;
        run(7 * MILLI - 1);
        assertEquals(ran, List.of());
        run(7 * MILLI);
        run(8 * MILLI);
        assertEquals(ran, List.of("deadline"));
    }

    private void run(long nowNanos) {
        Consumer<Consumer<Long>> runner = action -> action.accept(nowNanos);
        schedule.runDue(nowNanos, runner);
    }
}
