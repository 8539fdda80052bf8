package org.teaselhook.bench.capacity;

import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.teaselhook.standin.relay.RelayDirection;

/** One agent as a process under tasks at growing rates, from one light entry. */
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
        try (LightSite site = new LightSite(1, run.directory(PART))) {
            site.awaitReady();
            measure(site, RATES[RATES.length - 1]);
            for (double rate : RATES) {
                series.add(rate, measure(site, rate));
            }
        }
        series.printFits();
    }

    private Map<String, Double> measure(LightSite site, double rate) throws InterruptedException {
        LightEntry entry = site.entries().get(0);
        ScheduledExecutorService pace = Executors.newSingleThreadScheduledExecutor();
        try {
            long interval = (long) (1e9 / rate);
            pace.scheduleAtFixedRate(() -> entry.order(BODY), 0, interval, TimeUnit.NANOSECONDS);
            Thread.sleep(WARM_UP_MILLIS);
            return new ProcessWindow(List.of(site.agent()))
                    .counting("complete_per_s", entry::complete)
                    .counting("refused_per_s", entry::refused)
                    .counting("sent_bytes_per_s", () -> site.bytes(RelayDirection.TO_SERVER))
                    .counting("received_bytes_per_s", () -> site.bytes(RelayDirection.TO_CLIENT))
                    .measure(run.seconds());
        } finally {
            pace.shutdownNow();
        }
    }
}
