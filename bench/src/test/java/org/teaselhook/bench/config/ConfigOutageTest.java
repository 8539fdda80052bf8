package org.teaselhook.bench.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.teaselhook.bench.process.AdminClient;
import org.teaselhook.bench.process.ChangeResult;
import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.HealthProbe;
import org.teaselhook.bench.process.ProcessNode;
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
 * Restarts entries during an outage of the table service that begins right after a change was accepted. The entries
 * must neither revert to an older version nor become ready before they have read a configuration.
 */
public class ConfigOutageTest {

    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long POLL_MILLIS = 50;
    private static final long OBSERVATION_MILLIS = 4_000;

    private Site site;

    @BeforeMethod
    public void start() throws IOException, InterruptedException {
        Path directory = Files.createTempDirectory("config-outage-test");
        site = Site.start(SitePlan.standard().withProcesses(2, 2).withoutRelays(), TaskListener.none(), directory);
        site.awaitReady(READY_TIMEOUT);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (site != null) {
            site.close();
        }
    }

    @Test
    public void shouldKeepVersionWhenEntriesRestartDuringOutage() throws Exception {
        ChangeResult change = adminClient(0).changeZone("ernakulam", true, "outage-1");
        site.table().setFaults(TableFaults.none().withOutage(TableFaults.Outage.REFUSING));
        long version = change.version().orElseThrow(() -> new AssertionError(change.detail()));

        for (int i = 0; i < site.entries().size(); i++) {
            restart(i);
            int entry = i;
            await("entry " + i + " holds version " + version, () -> hasVersion(entry, version));
        }

        site.entries().forEach(entry -> entry.process().kill());
        site.entries().forEach(entry -> entry.process().start());
        await("both entries answer", () -> hasVersion(0, 0) && hasVersion(1, 0));
        TimeUnit.MILLISECONDS.sleep(OBSERVATION_MILLIS);
        for (EntryNode entry : site.entries()) {
            assertFalse(
                    HealthProbe.of(site.client()).isReady(entry.http()), "an entry is ready without a configuration");
        }

        site.table().setFaults(TableFaults.none());
        await("both entries hold version " + version, () -> hasVersion(0, version) && hasVersion(1, version));
        site.processes().forEach(process -> assertEquals(AppliedTimes.regressions(process.log()), List.of()));
    }

    private void restart(int entry) {
        ProcessNode process = site.entries().get(entry).process();
        process.kill();
        process.start();
    }

    private boolean hasVersion(int entry, long version) {
        return adminClient(entry).version().orElse(-1) >= version;
    }

    private AdminClient adminClient(int entry) {
        return AdminClient.of(site.client(), site.entries().get(entry).http());
    }

    private static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            assertTrue(deadlineNanos - System.nanoTime() > 0, "timed out: " + description);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }
}
