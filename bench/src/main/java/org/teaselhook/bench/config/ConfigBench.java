package org.teaselhook.bench.config;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.teaselhook.bench.process.AdminClient;
import org.teaselhook.bench.process.ChangeResult;
import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.standin.target.TaskListener;

/**
 * Repeatedly takes an availability zone out and brings it back, through the entries in turn, on a site of separate
 * processes without other load.
 */
final class ConfigBench {

    private static final Duration READY_TIMEOUT = Duration.ofSeconds(90);
    private static final long SETTLE_MILLIS = 2_000;
    private static final long IDLE_MILLIS = 10_000;
    private static final long CONFIRM_TIMEOUT_MILLIS = 30_000;
    private static final long POLL_MILLIS = 10;
    private static final int MAX_PAUSE_MILLIS = 1_000;

    private final SitePlan plan;
    private final int changes;
    private final Random random;
    private final Path directory;

    ConfigBench(SitePlan plan, int changes, long seed, Path directory) {
        this.plan = plan;
        this.changes = changes;
        this.random = new Random(seed);
        this.directory = directory;
    }

    ConfigBenchReport run() throws InterruptedException {
        try (Site site = Site.start(plan, TaskListener.none(), directory)) {
            site.awaitReady(READY_TIMEOUT);
            awaitAllConfirmed(adminClient(site, 0), 1);
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            Traffic start = Traffic.read(site);
            TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
            Traffic middle = Traffic.read(site);
            List<MeasuredChange> measured = makeChanges(site);
            Traffic end = Traffic.read(site);
            return ConfigBenchReport.of(site, measured, middle.since(start), end.since(middle));
        }
    }

    private List<MeasuredChange> makeChanges(Site site) throws InterruptedException {
        List<MeasuredChange> result = new ArrayList<>();
        for (int i = 0; i < changes; i++) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            result.add(makeChange(adminClient(site, i % plan.entries()), i));
        }
        return result;
    }

    private MeasuredChange makeChange(AdminClient adminClient, int index) throws InterruptedException {
        boolean out = index % 2 == 0;
        long sent = System.currentTimeMillis();
        ChangeResult result = adminClient.changeZone(plan.zones().get(0), out, "bench-" + index);
        long answered = System.currentTimeMillis();
        long version =
                result.version().orElseThrow(() -> new IllegalStateException("change refused: " + result.detail()));
        awaitAllConfirmed(adminClient, version);
        return new MeasuredChange(version, sent, answered, System.currentTimeMillis());
    }

    private void awaitAllConfirmed(AdminClient adminClient, long version) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONFIRM_TIMEOUT_MILLIS);
        while (!isConfirmed(adminClient, version)) {
            if (deadlineNanos - System.nanoTime() < 0) {
                throw new IllegalStateException(
                        "version " + version + " is not in force everywhere; logs are in " + directory);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private boolean isConfirmed(AdminClient adminClient, long version) {
        return adminClient
                .readJson("/v1/admin/status", Map.of())
                .filter(status -> isConfirmed(status, version))
                .isPresent();
    }

    private boolean isConfirmed(JsonNode status, long version) {
        int confirmed = 0;
        for (JsonNode process : status.path("processes")) {
            confirmed += process.path("version").asLong() >= version ? 1 : 0;
        }
        return confirmed == plan.entries() + plan.agents();
    }

    private static AdminClient adminClient(Site site, int entry) {
        return AdminClient.of(site.client(), site.entries().get(entry).http());
    }
}
