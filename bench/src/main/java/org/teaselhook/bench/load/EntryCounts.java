package org.teaselhook.bench.load;

import java.util.HashMap;
import java.util.Map;

import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.Site;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpResult;

/**
 * Counters summed over all entries, read from their metrics endpoints.
 *
 * @param values sums by metric name and labels, without the common prefix
 */
record EntryCounts(Map<String, Double> values) {

    private static final String PREFIX = "teaselhook_entry_";
    private static final long TIMEOUT_MILLIS = 2_000;

    /** Copies the map. */
    EntryCounts {
        values = Map.copyOf(values);
    }

    static EntryCounts read(Site site) {
        Map<String, Double> sums = new HashMap<>();
        for (EntryNode entry : site.entries()) {
            HttpResult result = site.client()
                    .send(entry.http(), HttpCall.of("GET", "/metrics"), TIMEOUT_MILLIS)
                    .toCompletableFuture()
                    .join();
            if (result instanceof HttpResult.Replied replied) {
                replied.reply()
                        .text()
                        .lines()
                        .filter(line -> line.startsWith(PREFIX))
                        .forEach(line -> add(sums, line));
            }
        }
        return new EntryCounts(sums);
    }

    private static void add(Map<String, Double> sums, String line) {
        int space = line.lastIndexOf(' ');
        String name = line.substring(PREFIX.length(), space);
        sums.merge(name, Double.parseDouble(line.substring(space + 1)), Double::sum);
    }

    /** Returns the increase of each counter since an earlier reading. */
    EntryCounts since(EntryCounts before) {
        Map<String, Double> differences = new HashMap<>();
        values.forEach((name, value) -> differences.put(name, value - before.values.getOrDefault(name, 0.0)));
        return new EntryCounts(differences);
    }

    double total(String counter) {
        return values.getOrDefault(counter + "_total", 0.0);
    }

    double refusals(String reason) {
        return values.getOrDefault("refusals_total{reason=\"" + reason + "\"}", 0.0);
    }

    double refusals() {
        return values.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("refusals_total"))
                .mapToDouble(Map.Entry::getValue)
                .sum();
    }
}
