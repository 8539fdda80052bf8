package org.teaselhook.node.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ControlLoopTest {

    private static final long TIMEOUT_SECONDS = 10;

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
}
