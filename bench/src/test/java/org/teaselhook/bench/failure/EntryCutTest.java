package org.teaselhook.bench.failure;

import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.teaselhook.bench.history.HistoryRecorder;
import org.teaselhook.bench.process.AdminClient;
import org.teaselhook.bench.process.ChangeResult;
import org.teaselhook.bench.process.HealthProbe;
import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.standin.target.TaskListener;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Partitions two of three entries from the table service and the third entry; agents still reach all three. */
public class EntryCutTest {

    private static final Duration READY_WAIT = Duration.ofSeconds(60);
    private static final long STOP_MILLIS = 6_000;
    private static final long PROPAGATION_MILLIS = 5_000;
    private static final long DETECTION_MILLIS = 4_000;
    private static final long HEAL_MILLIS = 20_000;
    private static final long POLL_MILLIS = 50;
    private static final List<String> PARTITIONED = List.of("entry-1", "entry-2");
    private static final List<String> LINKS =
            List.of("entry-1>entry-3", "entry-3>entry-1", "entry-2>entry-3", "entry-3>entry-2");

    private Site site;
    private FaultActions actions;

    @BeforeMethod
    public void start() throws IOException, InterruptedException {
        SitePlan plan = SitePlan.standard().withProcesses(3, 2);
        site = Site.start(plan, TaskListener.none(), Files.createTempDirectory("entry-cut-test"));
        site.awaitReady(READY_WAIT);
        actions = new FaultActions(site, HistoryRecorder.of(System::nanoTime), new Downtimes());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (site != null) {
            site.close();
        }
    }

    @Test
    public void shouldStopPartitionedEntriesAndPropagateChangeThroughAgents() throws InterruptedException {
        await("all entries hold the rules", READY_WAIT.toMillis(), () -> holds(0, 1) && holds(1, 1) && holds(2, 1));
        PARTITIONED.forEach(entry -> actions.cutTable(fault(FaultKind.CUT_TABLE_LINK, entry)));
        LINKS.forEach(link -> actions.cutLink(fault(FaultKind.CUT_PEER_LINK, link)));
        ChangeResult out = adminClient(2).changeZone("ernakulam", true, "cut-1");
        long version = out.version().orElseThrow(() -> new AssertionError(out.detail()));

        await("agents propagate the version", PROPAGATION_MILLIS, () -> holds(0, version) && holds(1, version));
        await("the partitioned entries are not ready", STOP_MILLIS, () -> !isReady(0) && !isReady(1));
        assertTrue(isReady(2), "the entry that reaches the table service is not ready");

        PARTITIONED.forEach(entry -> actions.healTable(fault(FaultKind.CUT_TABLE_LINK, entry)));
        LINKS.forEach(link -> actions.healLink(fault(FaultKind.CUT_PEER_LINK, link)));
        await("the entries are ready again", HEAL_MILLIS, () -> isReady(0) && isReady(1));
    }

    @Test
    public void shouldShowAgentsOfOtherEntriesAndUnresponsiveEntries() throws InterruptedException {
        await("all agents have confirmed the version", READY_WAIT.toMillis(), () -> status().path("inForce")
                .asBoolean());
        actions.cutLink(fault(FaultKind.CUT_AGENT_LINK, "agent-1>entry-1"));
        TimeUnit.MILLISECONDS.sleep(DETECTION_MILLIS);
        assertTrue(status().toString().contains("\"agent-1\""), status().toString());

        actions.kill(fault(FaultKind.KILL_ENTRY, "entry-2"));
        adminClient(0).changeZone("ernakulam", true, "cut-2");
        await("the killed entry is listed as unconfirmed", DETECTION_MILLIS, () -> status().path("unconfirmed")
                .toString()
                .equals("[\"entry entry-2\"]"));
        await("the killed entry is no longer awaited", HEAL_MILLIS, () -> status().path("inForce")
                .asBoolean());
    }

    private JsonNode status() {
        return adminClient(0).readJson("/v1/admin/status", Map.of()).orElseGet(MissingNode::getInstance);
    }

    private boolean holds(int entry, long version) {
        return adminClient(entry).version().orElse(-1) >= version;
    }

    private boolean isReady(int entry) {
        return HealthProbe.of(site.client()).isReady(site.entries().get(entry).http());
    }

    private AdminClient adminClient(int entry) {
        return AdminClient.of(site.client(), site.entries().get(entry).http());
    }

    private static PlannedFault fault(FaultKind kind, String subject) {
        return new PlannedFault(kind, List.of(subject), 0, 0, 0);
    }

    private static void await(String expectation, long millis, BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.getAsBoolean()) {
            assertTrue(endNanos - System.nanoTime() > 0, "timed out waiting until " + expectation);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }
}
