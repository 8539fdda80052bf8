package org.teaselhook.bench.capacity;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.Link;
import org.teaselhook.bench.process.ProcessNode;
import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.standin.relay.Relay;
import org.teaselhook.standin.relay.RelayDirection;

/** Measures idle entry processes, with one simulated agent each, and their load on each other and the table service. */
final class IdleEntries {

    private static final long SETTLE_MILLIS = 8_000;

    private final CapacityRun run;
    private final String part;
    private final int[] sizes;

    IdleEntries(CapacityRun run, String part, int... sizes) {
        this.run = run;
        this.part = part;
        this.sizes = sizes;
    }

    void run() throws Exception {
        Series series = run.series(part, "entries");
        for (int size : sizes) {
            series.add(size, measure(size));
        }
        series.printFits();
    }

    private Map<String, Double> measure(int size) throws Exception {
        SitePlan plan = SitePlan.standard().withProcesses(size, 0);
        try (EntryTestbed testbed = EntryTestbed.start(plan, 1, run.directory(part + "-" + size))) {
            Thread.sleep(SETTLE_MILLIS);
            return measurement(testbed.site()).measure(run.seconds());
        }
    }

    private static ProcessMeasurement measurement(Site site) {
        List<ProcessNode> processes = site.processes().toList();
        return new ProcessMeasurement(processes)
                .counting("table_reads_per_s", () -> site.table().counters().reads())
                .counting("table_writes_per_s", () -> site.table().counters().writes())
                .counting("table_bytes_per_s", () -> bytes(Stream.of(site.tableLink())))
                .counting("session_bytes_per_s_and_entry", () -> peerBytes(site) / processes.size());
    }

    /** Counts every byte between entries at its sender and its receiver. Bytes of the agents count twice as well. */
    private static double peerBytes(Site site) {
        return 2 * bytes(site.entries().stream().map(EntryNode::grpc));
    }

    static double bytes(Stream<Link> links) {
        return links.map(Link::relay)
                .flatMap(Optional::stream)
                .mapToDouble(IdleEntries::bytes)
                .sum();
    }

    private static double bytes(Relay relay) {
        return relay.bytes(RelayDirection.TO_SERVER) + relay.bytes(RelayDirection.TO_CLIENT);
    }
}
