package org.teaselhook.bench.capacity;

import java.time.Duration;
import java.util.List;

import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.standin.relay.Relay;
import org.teaselhook.standin.relay.RelayDirection;
import org.teaselhook.standin.target.TaskListener;

/** One entry as a process, with more and more idle light agents. */
final class EntryAgents {

    private static final String PART = "entry-agents";
    private static final int[] SIZES = {10, 40, 120, 240};
    private static final Duration START_WAIT = Duration.ofSeconds(40);
    private static final long SETTLE_MILLIS = 3_000;

    private final CapacityRun run;

    EntryAgents(CapacityRun run) {
        this.run = run;
    }

    void run() throws Exception {
        SitePlan plan = SitePlan.standard().withProcesses(1, 0);
        Series series = run.series(PART, "agents");
        try (Site site = Site.start(plan, TaskListener.none(), run.directory(PART));
                LightAgents agents = new LightAgents(plan)) {
            site.awaitReady(START_WAIT);
            for (int size : SIZES) {
                measure(site.entries().get(0), agents, size, series);
            }
        }
        series.printFits();
    }

    private void measure(EntryNode entry, LightAgents agents, int size, Series series) throws InterruptedException {
        Relay relay = entry.grpc().relay().orElseThrow();
        agents.add(size - agents.size(), relay.address());
        Thread.sleep(SETTLE_MILLIS);
        ProcessWindow window = new ProcessWindow(List.of(entry.process()))
                .counting("received_bytes_per_s", () -> relay.bytes(RelayDirection.TO_SERVER))
                .counting("sent_bytes_per_s", () -> relay.bytes(RelayDirection.TO_CLIENT));
        series.add(size, window.measure(run.seconds()));
    }
}
