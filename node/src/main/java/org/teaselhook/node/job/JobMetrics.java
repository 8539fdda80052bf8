package org.teaselhook.node.job;

import java.util.Locale;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.teaselhook.core.job.JobDecision;
import org.teaselhook.core.job.JobResult;

/**
 * The metrics of an entry for jobs. Updated on the control thread, read when they are scraped.
 */
final class JobMetrics {

    /** Upper bounds of the histogram's buckets, in seconds: from a short task to the longest wait of a caller. */
    private static final double[] BUCKETS = {0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter decisions = Counter.builder()
            .name("teaselhook_entry_job_decisions_total")
            .help("Decisions on jobs and their tasks")
            .labelNames("kind")
            .register(registry);
    private final Counter repeatedOrders = Counter.builder()
            .name("teaselhook_entry_repeated_orders_total")
            .help("Orders of tasks that were ordered before, by what ended the order before")
            .labelNames("ended_by")
            .register(registry);
    private final Histogram answers = Histogram.builder()
            .name("teaselhook_entry_job_seconds")
            .help("Time from a job's arrival to its answer, by route and outcome")
            .labelNames("route", "outcome")
            .classicOnly()
            .classicUpperBounds(BUCKETS)
            .register(registry);

    /** A snapshot of the values that gauges show, taken on the control thread. */
    record Status(int jobs, int openWorkers, int queued, long configVersion, long routesAgeMillis, double shedShare) {

        static final Status INITIAL = new Status(0, 0, 0, 0, 0, 0);
    }

    JobMetrics(Supplier<Status> status) {
        gauge("jobs", "Jobs in progress", status, Status::jobs);
        gauge("jobs_queued", "Jobs that no worker has begun", status, Status::queued);
        gauge("workers_open", "Workers that take work", status, Status::openWorkers);
        gauge("config_version", "Version of the routes held", status, Status::configVersion);
        gauge("shed_share", "Share of new jobs turned away because the entry is behind", status, Status::shedShare);
        gauge("routes_age_seconds", "Time since the routes were last read", status, s -> s.routesAgeMillis() / 1e3);
    }

    PrometheusRegistry registry() {
        return registry;
    }

    void recordDecision(JobDecision decision) {
        decisions.labelValues(decision.kind().name()).inc();
        if (decision.kind() == JobDecision.Kind.TASK_ORDERED_AGAIN) {
            String endedBy = decision.input("ended_by").map(String::valueOf).orElse("");
            repeatedOrders.labelValues(endedBy).inc();
        }
    }

    void recordAnswer(String route, JobResult result, double seconds) {
        String outcome = result.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        answers.labelValues(route, outcome).observe(seconds);
    }

    private void gauge(String name, String help, Supplier<Status> status, ToDoubleFunction<Status> value) {
        GaugeWithCallback.builder()
                .name("teaselhook_entry_" + name)
                .help(help)
                .callback(callback -> callback.call(value.applyAsDouble(status.get())))
                .register(registry);
    }
}
