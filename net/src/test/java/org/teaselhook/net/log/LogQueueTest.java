package org.teaselhook.net.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class LogQueueTest {

    private static final long SECOND_NANOS = 1_000_000_000L;

    // -- rate limit

    @Test
    public void shouldLimitRoutineLinesPerSecond() {
        LogRateLimiter limiter = LogRateLimiter.of(100, 1_000);
        int kept = 0;
        for (int i = 0; i < 5_000; i++) {
            kept += limiter.tryAcquire(i, false, 0) ? 1 : 0;
        }
        assertEquals(kept, 100);
        assertEquals(limiter.takeDropped(), 4_900);
        assertTrue(limiter.tryAcquire(SECOND_NANOS, false, 0));
        assertEquals(limiter.takeDropped(), 0);
    }

    @DataProvider
    public Object[][] fillings() {
        return new Object[][] {{0, true, true}, {499, true, true}, {500, false, true}, {1_000, false, false}};
    }

    @Test(dataProvider = "fillings")
    public void shouldDropRoutineLinesBeforeFailureLinesAsQueueFills(int queued, boolean routine, boolean failure) {
        assertEquals(LogRateLimiter.of(100, 1_000).tryAcquire(0, false, queued), routine);
        assertEquals(LogRateLimiter.of(100, 1_000).tryAcquire(0, true, queued), failure);
    }

    @Test
    public void shouldKeepFailureLinesBeyondRoutineLimit() {
        LogRateLimiter limiter = LogRateLimiter.of(1, 1_000);
        assertTrue(limiter.tryAcquire(0, false, 0));
        assertFalse(limiter.tryAcquire(0, false, 0));
        assertTrue(limiter.tryAcquire(0, true, 0));
    }

    // -- writer thread

    @Test
    public void shouldWriteLinesInOrderAndReportDroppedCount() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        AtomicLong dropped = new AtomicLong();
        try (LogQueue queue = LogQueue.start(64, 3, out, dropped::set)) {
            for (int i = 0; i < 5; i++) {
                queue.add(0, false, "line" + i + "\n");
            }
        }
        String text = out.toString(StandardCharsets.UTF_8);
        assertTrue(text.startsWith("line0\nline1\nline2\n"), text);
        assertTrue(text.contains("event=log-lines-dropped count=2"), text);
        assertEquals(dropped.get(), 2);
    }

    /** A log reader that has stopped reading must not block the threads that write log lines. */
    @Test(timeOut = 10_000)
    public void shouldNotBlockWhileStreamBlocks() {
        CountDownLatch released = new CountDownLatch(1);
        OutputStream blocked = new OutputStream() {
            @Override
            public void write(int b) {
                try {
                    released.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        LogQueue queue = LogQueue.start(64, 1_000_000, blocked, dropped -> {});
        for (int i = 0; i < 100_000; i++) {
            queue.add(i, i % 2 == 0, "line\n");
        }
        released.countDown();
        queue.close();
    }
}
