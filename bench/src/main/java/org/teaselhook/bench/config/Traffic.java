package org.teaselhook.bench.config;

import java.util.Optional;
import java.util.stream.Stream;

import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.Link;
import org.teaselhook.bench.process.Site;
import org.teaselhook.standin.relay.Relay;
import org.teaselhook.standin.relay.RelayDirection;
import org.teaselhook.standin.table.TableCounters;

/**
 * The traffic between the processes of a site since its start.
 *
 * @param nanos time of the reading on the monotonic clock
 * @param tableReads number of reads and scans at the table service
 * @param tableWrites number of transactions at the table service
 * @param tableBytes bytes to and from the table service
 * @param sessionBytes bytes among entries and between entries and agents
 */
record Traffic(double nanos, double tableReads, double tableWrites, double tableBytes, double sessionBytes) {

    static Traffic read(Site site) {
        TableCounters counters = site.table().counters();
        return new Traffic(
                System.nanoTime(),
                counters.reads(),
                counters.writes(),
                bytes(Stream.of(site.tableLink())),
                bytes(site.entries().stream().map(EntryNode::grpc)));
    }

    private static long bytes(Stream<Link> links) {
        return links.map(Link::relay)
                .flatMap(Optional::stream)
                .mapToLong(Traffic::bytes)
                .sum();
    }

    private static long bytes(Relay relay) {
        return relay.bytes(RelayDirection.TO_SERVER) + relay.bytes(RelayDirection.TO_CLIENT);
    }

    /** Returns the traffic since an earlier reading. */
    Traffic since(Traffic earlier) {
        return new Traffic(
                nanos - earlier.nanos,
                tableReads - earlier.tableReads,
                tableWrites - earlier.tableWrites,
                tableBytes - earlier.tableBytes,
                sessionBytes - earlier.sessionBytes);
    }

    /** Returns all values multiplied by a factor. */
    Traffic scaledBy(double factor) {
        return new Traffic(
                nanos * factor, tableReads * factor, tableWrites * factor, tableBytes * factor, sessionBytes * factor);
    }
}
