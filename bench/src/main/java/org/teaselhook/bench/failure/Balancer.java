package org.teaselhook.bench.failure;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.stream.IntStream;

import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.HealthProbe;
import org.teaselhook.net.http.HttpClient;

/** Simulates the platform's load balancer: chooses among the entries that report ready. Thread-safe. */
final class Balancer {

    private static final long POLL_INTERVAL_MILLIS = 200;
    private static final long PROBE_TIMEOUT_MILLIS = 400;

    private final List<EntryNode> entries;
    private final HealthProbe probe;
    private final AtomicIntegerArray ready;

    Balancer(List<EntryNode> entries, HttpClient client) {
        this.entries = entries;
        this.probe = HealthProbe.of(client, PROBE_TIMEOUT_MILLIS);
        this.ready = new AtomicIntegerArray(entries.size());
        IntStream.range(0, entries.size()).forEach(i -> ready.set(i, 1));
    }

    /** Returns the first entry from the preferred one on whose last probe succeeded, or the preferred one if none. */
    EntryNode choose(int preferred) {
        return IntStream.range(0, entries.size())
                .map(i -> (preferred + i) % entries.size())
                .filter(i -> ready.get(i) == 1)
                .mapToObj(entries::get)
                .findFirst()
                .orElseGet(() -> entries.get(preferred));
    }

    /** Probes one entry periodically until interrupted. */
    void watch(int index) throws InterruptedException {
        while (!Thread.currentThread().isInterrupted()) {
            ready.set(index, probe.isReady(entries.get(index).http()) ? 1 : 0);
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
    }
}
