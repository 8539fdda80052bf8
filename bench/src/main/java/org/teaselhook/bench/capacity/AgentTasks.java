package org.teaselhook.bench.capacity;

import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.teaselhook.standin.relay.RelayDirection;

/** Measures an agent process under increasing rates of tasks from one simulated entry. */
final class AgentTasks {

    private static final String PART = "agent-tasks";
    private static final double[] RATES = {20, 60, 120};
    private static final long WARM_UP_MILLIS = 4_000;
    private static final ByteString BODY = ByteString.copyFrom(new byte[64]);

    private final CapacityRun run;

    AgentTasks(CapacityRun run) {
        this.run = run;
    }

    void run() throws Exception {
        Series series = run.series(PART, "tasks_per_s");
        try (AgentTestbed testbed = new AgentTestbed(1, run.directory(PART))) {
            testbed.awaitReady();
            measure(testbed, RATES[RATES.length - 1]);
            for (double rate : RATES) {
                series.add(rate, measure(testbed, rate));
            }
        }
        series.printFits();
    }

    private Map<String, Double> measure(AgentTestbed testbed, double rate) throws InterruptedException {
        SimulatedEntry entry = testbed.entries().get(0);
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try {
            long intervalNanos = (long) (1e9 / rate);
            timer.scheduleAtFixedRate(() -> entry.sendOrder(BODY), 0, intervalNanos, TimeUnit.NANOSECONDS);
            Thread.sleep(WARM_UP_MILLIS);
            return new ProcessMeasurement(List.of(testbed.agent()))
                    .counting("complete_per_s", entry::complete)
                    .counting("refused_per_s", entry::refused)
                    .counting("sent_bytes_per_s", () -> testbed.bytes(RelayDirection.TO_SERVER))
                    .counting("received_bytes_per_s", () -> testbed.bytes(RelayDirection.TO_CLIENT))
                    .measure(run.seconds());
        } finally {
            timer.shutdownNow();
        }
    }
}
