package org.teaselhook.bench.capacity;

import java.util.List;
import java.util.Map;

import org.teaselhook.standin.relay.RelayDirection;

/** Measures an idle agent process with an increasing number of simulated entries. */
final class AgentEntries {

    private static final String PART = "agent-entries";
    private static final int[] SIZES = {1, 3, 6, 12, 24};
    private static final long SETTLE_MILLIS = 8_000;

    private final CapacityRun run;

    AgentEntries(CapacityRun run) {
        this.run = run;
    }

    void run() throws Exception {
        Series series = run.series(PART, "entries");
        for (int size : SIZES) {
            series.add(size, measure(size));
        }
        series.printFits();
    }

    private Map<String, Double> measure(int size) throws Exception {
        try (AgentTestbed testbed = new AgentTestbed(size, run.directory(PART + "-" + size))) {
            testbed.awaitReady();
            Thread.sleep(SETTLE_MILLIS);
            return new ProcessMeasurement(List.of(testbed.agent()))
                    .counting("sent_bytes_per_s", () -> testbed.bytes(RelayDirection.TO_SERVER))
                    .counting("received_bytes_per_s", () -> testbed.bytes(RelayDirection.TO_CLIENT))
                    .measure(run.seconds());
        }
    }
}
