package org.teaselhook.bench.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.teaselhook.bench.process.ChangeResult;
import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.Operators;
import org.teaselhook.bench.process.ProcessNode;
import org.teaselhook.bench.process.Readiness;
import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.standin.table.TableFaults;
import org.teaselhook.standin.target.TaskListener;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Restarts entries while the table service is out of order right after a change was accepted.
 */
public class ConfigOutageTest {

    private static final Duration READY_WAIT = Duration.ofSeconds(60);
    private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long POLL_MILLIS = 50;
    private static final long LISTEN_MILLIS = 4_000;

    private Site site;

    @BeforeMethod
    public void start() throws IOException, InterruptedException {
        Path directory = Files.createTempDirectory("config-outage-test");
        site = Site.start(SitePlan.standard().withProcesses(2, 2).withoutRelays(), TaskListener.none(), directory);
        site.awaitReady(READY_WAIT);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (site != null) {
            site.close();
        }
    }

    @Test
    public void shouldNeverFallBackWhenEntriesRestartDuringOutage() throws Exception {
        ChangeResult out = operators(0).changeZone("ernakulam", true, "outage-1");
        site.table().faults(TableFaults.none().withOutage(TableFaults.Outage.REFUSING));
        long version = out.version().orElseThrow(() -> new AssertionError(out.detail()));

        for (int i = 0; i < site.entries().size(); i++) {
            restart(i);
            int entry = i;
            await("entry " + i + " holds version " + version, () -> holds(entry, version));
        }

        site.entries().forEach(entry -> entry.process().kill());
        site.entries().forEach(entry -> entry.process().start());
        await("both entries answer", () -> holds(0, 0) && holds(1, 0));
        TimeUnit.MILLISECONDS.sleep(LISTEN_MILLIS);
        for (EntryNode entry : site.entries()) {
            assertFalse(Readiness.of(site.client()).isReady(entry.http()), "nothing was read, yet an entry is ready");
        }

        site.table().faults(TableFaults.none());
        await("both entries hold version " + version, () -> holds(0, version) && holds(1, version));
        site.processes().forEach(process -> assertEquals(AppliedTimes.falls(process.log()), List.of()));
    }

    private void restart(int entry) {
        ProcessNode process = site.entries().get(entry).process();
        process.kill();
        process.start();
    }

    private boolean holds(int entry, long version) {
        return operators(entry).version().orElse(-1) >= version;
    }

    private Operators operators(int entry) {
        return Operators.of(site.client(), site.entries().get(entry).http());
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + WAIT_NANOS;
        while (!condition.getAsBoolean()) {
            assertTrue(endNanos - System.nanoTime() > 0, "not in time: " + what);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }
}
