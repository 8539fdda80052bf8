package org.teaselhook.node.lease;

import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.teaselhook.core.lease.EndEvidence;
import org.teaselhook.core.lease.RunOutcome;
import org.teaselhook.core.lease.RunRefusal;

/**
 * The metrics of an agent whose worker runs tasks under leases.
 */
final class LeaseMetrics {

    /** Upper bounds of the histogram's buckets, in seconds: from a short task to the longest wait of a caller. */
    private static final double[] BUCKETS = {0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter refusals = Counter.builder()
            .name("teaselhook_agent_order_refusals_total")
            .help("Orders that were not carried out")
            .labelNames("reason")
            .register(registry);
    private final Counter ends = Counter.builder()
            .name("teaselhook_agent_order_ends_total")
            .help("Orders that ended or were refused, by the evidence for it")
            .labelNames("evidence")
            .register(registry);
    private final Histogram runs = Histogram.builder()
            .name("teaselhook_agent_run_seconds")
            .help("Time from an order to the end of its run, by outcome")
            .labelNames("outcome")
            .classicOnly()
            .classicUpperBounds(BUCKETS)
            .register(registry);

    /** A snapshot of the values that gauges show, taken on the control thread. */
    record Status(int runs, int usedCpu, int freeCpu, int entries, boolean workerAvailable, long routesVersion) {

        static final Status INITIAL = new Status(0, 0, 0, 0, false, 0);
    }

    LeaseMetrics(Supplier<Status> status) {
        gauge("runs", "Runs that have not certainly ended", status, Status::runs);
        gauge("cpu_used_millis", "What these runs use, in thousandths of a core", status, Status::usedCpu);
        gauge("cpu_free_millis", "What the worker has free, in thousandths of a core", status, Status::freeCpu);
        gauge("entries", "Entries heard from of late", status, Status::entries);
        gauge("worker_open", "1 while the worker takes work", status, s -> s.workerAvailable() ? 1 : 0);
        gauge("routes_version", "Newest version of the operators' decisions heard of", status, Status::routesVersion);
    }

    PrometheusRegistry registry() {
        return registry;
    }

    void recordRun(RunOutcome outcome, long millis) {
        runs.labelValues(outcome.name()).observe(millis / 1e3);
    }

    void recordRefusal(RunRefusal refusal) {
        refusals.labelValues(refusal.name()).inc();
    }

    void recordEnd(EndEvidence evidence) {
        ends.labelValues(evidence.text()).inc();
    }

    private void gauge(String name, String help, Supplier<Status> status, ToDoubleFunction<Status> value) {
        GaugeWithCallback.builder()
                .name("teaselhook_agent_" + name)
                .help(help)
                .callback(callback -> callback.call(value.applyAsDouble(status.get())))
                .register(registry);
    }
}
