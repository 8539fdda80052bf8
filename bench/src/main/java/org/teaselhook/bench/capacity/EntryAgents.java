package org.teaselhook.bench.capacity;

import java.util.List;

import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.standin.relay.Relay;
import org.teaselhook.standin.relay.RelayDirection;

/** Measures an entry process with an increasing number of idle simulated agents. */
final class EntryAgents {

    private static final String PART = "entry-agents";
    private static final int[] SIZES = {10, 40, 120, 240};
    private static final long WARM_UP_MILLIS = 10_000;
    private static final long SETTLE_MILLIS = 3_000;

    private final CapacityRun run;

    EntryAgents(CapacityRun run) {
        this.run = run;
    }

    void run() throws Exception {
        SitePlan plan = SitePlan.standard().withProcesses(1, 0);
        Series series = run.series(PART, "agents");
        try (EntryTestbed testbed = EntryTestbed.start(plan, SIZES[0], run.directory(PART))) {
            Thread.sleep(WARM_UP_MILLIS);
            for (int size : SIZES) {
                measure(testbed.site().entries().get(0), testbed.agents(), size, series);
            }
        }
        series.printFits();
    }

    private void measure(EntryNode entry, SimulatedAgents agents, int size, Series series) throws InterruptedException {
        Relay relay = entry.grpc().relay().orElseThrow();
        agents.add(size - agents.size(), relay.address());
        Thread.sleep(SETTLE_MILLIS);
        ProcessMeasurement measurement = new ProcessMeasurement(List.of(entry.process()))
                .counting("received_bytes_per_s", () -> relay.bytes(RelayDirection.TO_SERVER))
                .counting("sent_bytes_per_s", () -> relay.bytes(RelayDirection.TO_CLIENT));
        series.add(size, measurement.measure(run.seconds()));
    }
}
