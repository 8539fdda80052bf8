package org.teaselhook.bench.capacity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;

import org.teaselhook.bench.process.ProcessNode;
import org.teaselhook.bench.process.ProcessUsage;

/** Measures the mean resource usage of processes, and rates of counters, over an interval. */
final class ProcessMeasurement {

    private static final double BYTES_PER_MIB = 1 << 20;

    private final List<ProcessNode> processes;
    private final Map<String, DoubleSupplier> counters = new LinkedHashMap<>();

    ProcessMeasurement(List<ProcessNode> processes) {
        this.processes = List.copyOf(processes);
    }

    /** Adds a counter, whose rate per second is measured too. */
    ProcessMeasurement counting(String measure, DoubleSupplier counter) {
        counters.put(measure, counter);
        return this;
    }

    /** Measures for a number of seconds. Processor time is in shares of one core, memory in MiB. */
    Map<String, Double> measure(double seconds) throws InterruptedException {
        Map<String, Double> before = readCounters();
        double cpuBefore = cpuNanos();
        long start = System.nanoTime();
        TimeUnit.MILLISECONDS.sleep((long) (seconds * 1e3));
        double nanos = System.nanoTime() - start;
        Map<String, Double> result = new LinkedHashMap<>();
        result.put("core_share", (cpuNanos() - cpuBefore) / nanos / processes.size());
        readCounters().forEach((name, value) -> result.put(name, (value - before.get(name)) / nanos * 1e9));
        result.put("resident_mib", mean(node -> node.usage().residentBytes()) / BYTES_PER_MIB);
        result.put("heap_mib", mean(node -> LiveHeap.liveBytes(node.pid())) / BYTES_PER_MIB);
        return result;
    }

    private double cpuNanos() {
        return processes.stream()
                .map(ProcessNode::usage)
                .mapToDouble(ProcessUsage::cpuNanos)
                .sum();
    }

    private double mean(ToDoubleFunction<ProcessNode> reading) {
        return processes.stream().mapToDouble(reading).sum() / processes.size();
    }

    private Map<String, Double> readCounters() {
        Map<String, Double> values = new LinkedHashMap<>();
        counters.forEach((name, counter) -> values.put(name, counter.getAsDouble()));
        return values;
    }
}
