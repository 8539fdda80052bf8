package org.teaselhook.node.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ControlLoopTest {

    private static final long TIMEOUT_SECONDS = 10;
    private static final long ASLEEP_MILLIS = 100;

    // -- execute

    @Test
    public void shouldRunEventsInOrderOnOneThread() throws Exception {
        List<Integer> seen = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        try (ControlLoop loop = ControlLoop.start("test", System::nanoTime, failure -> {})) {
            for (int i = 0; i < 1_000; i++) {
                int number = i;
                loop.execute(() -> seen.add(number));
            }
            loop.execute(done::countDown);
            assertTrue(done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        assertEquals(seen.size(), 1_000);
        assertEquals(seen.get(999), Integer.valueOf(999));
    }

    @Test
    public void shouldReportFailureAndGoOn() throws Exception {
        AtomicReference<Throwable> failure = new AtomicReference<>();
        CountDownLatch done = new CountDownLatch(1);
        try (ControlLoop loop = ControlLoop.start("test", System::nanoTime, failure::set)) {
            loop.execute(() -> {
                throw new IllegalStateException("broken");
            });
            loop.execute(done::countDown);
            assertTrue(done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        assertEquals(failure.get().getMessage(), "broken");
    }

    // -- every

    @Test
    public void shouldRunTicksAgainAndAgain() throws Exception {
        CountDownLatch three = new CountDownLatch(3);
        try (ControlLoop loop = ControlLoop.start("test", System::nanoTime, failure -> {})) {
            loop.every(1, now -> three.countDown());
            assertTrue(three.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    // -- when

    @Test
    public void shouldWakeForDeadlineThatAnEventSetsWhileTheLoopSleeps() throws Exception {
        AtomicLong deadline = new AtomicLong(Long.MAX_VALUE);
        AtomicLong ran = new AtomicLong();
        CountDownLatch done = new CountDownLatch(1);
        try (ControlLoop loop = ControlLoop.start("test", System::nanoTime, failure -> {})) {
            loop.when(deadline::get, now -> {
                deadline.set(Long.MAX_VALUE);
                ran.set(now);
                done.countDown();
            });
            Thread.sleep(ASLEEP_MILLIS);
            long due = loop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(20);
            loop.execute(() -> deadline.set(due));
            assertTrue(done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertTrue(ran.get() >= due);
            assertTrue(ran.get() - due < TimeUnit.MILLISECONDS.toNanos(200), "late by ns: " + (ran.get() - due));
        }
    }

    @Test
    public void shouldRunEveryDeadlineWhileEventsKeepTheLoopBusy() throws Exception {
        CountDownLatch hundred = new CountDownLatch(100);
        AtomicLong deadline = new AtomicLong(System.nanoTime());
        try (ControlLoop loop = ControlLoop.start("test", System::nanoTime, failure -> {})) {
            loop.when(deadline::get, now -> {
                deadline.set(now + TimeUnit.MILLISECONDS.toNanos(1));
                hundred.countDown();
            });
            Runnable[] again = new Runnable[1];
            again[0] = () -> loop.execute(again[0]);
            loop.execute(again[0]);
            assertTrue(hundred.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    @Test
    public void shouldSleepWhileNothingIsDue() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        try (ControlLoop loop = ControlLoop.start("test", System::nanoTime, failure -> {})) {
            loop.when(
                    () -> {
                        asked.incrementAndGet();
                        return Long.MAX_VALUE;
                    },
                    now -> {});
            Thread.sleep(ASLEEP_MILLIS);
            int before = asked.get();
            Thread.sleep(1_000);
            assertTrue(asked.get() - before <= 20, "looked at its deadlines: " + (asked.get() - before));
        }
    }
}
