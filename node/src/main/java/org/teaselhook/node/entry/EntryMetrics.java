package org.teaselhook.node.entry;

import java.util.Map;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.teaselhook.core.claim.LedgerEvent;
import org.teaselhook.core.dispatch.DispatchStats;

/**
 * The entry's metrics, read from its status when they are scraped.
 */
final class EntryMetrics {

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Supplier<EntryStatus> status;
    private final Counter ledgerEvents = Counter.builder()
            .name("teaselhook_entry_ledger_events_total")
            .help("Events of the ledger of claims")
            .labelNames("kind")
            .register(registry);

    EntryMetrics(Supplier<EntryStatus> status) {
        this.status = status;
        registerCounters();
        registerGauges();
    }

    PrometheusRegistry registry() {
        return registry;
    }

    /** Counts an event of the ledger; called on the ledger's control thread. */
    void count(LedgerEvent event) {
        ledgerEvents.labelValues(event.kind().name()).inc();
    }

    private void registerCounters() {
        counter("submissions", "Submissions taken or refused", DispatchStats::submissions);
        counter("complete", "Submissions answered complete", DispatchStats::complete);
        counter("not_run", "Submissions answered not run", DispatchStats::notRun);
        counter("may_have_run", "Submissions answered may have run", DispatchStats::mayHaveRun);
        counter("dispatches", "Orders sent", DispatchStats::dispatches);
        counter("retries", "Orders sent after a possible start", DispatchStats::retries);
        counter("hedges", "Orders sent while another was in progress", DispatchStats::hedges);
        counter("probes", "Orders sent to ejected workers", DispatchStats::probes);
        counter("late_results", "Results for tasks already answered", DispatchStats::lateResults);
        counter("unknown_results", "Results for numbers no longer known", DispatchStats::unknownResults);
        counter("cancels", "Cancellations sent", DispatchStats::cancels);
        CounterWithCallback.builder()
                .name("teaselhook_entry_refusals_total")
                .help("Refusals by agents")
                .labelNames("reason")
                .callback(callback -> refusals().forEach((reason, count) -> callback.call(count, reason)))
                .register(registry);
    }

    private Map<String, Long> refusals() {
        Map<String, Long> result = new java.util.TreeMap<>();
        status.get().stats().refusals().forEach((reason, count) -> result.put(reason.name(), count));
        return result;
    }

    private void registerGauges() {
        gauge("queued", "Tasks that wait", s -> s.stats().queued());
        gauge("dispatched", "Orders in progress", s -> s.stats().running());
        gauge("ejected", "Agents that get no more than probes", s -> s.stats().ejected());
        gauge("running", "Submissions in progress", EntryStatus::running);
        gauge("agents", "Connected agents", EntryStatus::agents);
        gauge("peers", "Live entries beside this one", EntryStatus::peers);
        gauge("claims_known", "1 if a refusal of a key can be certain in an outage", s -> s.claimsKnown() ? 1 : 0);
        gauge("config_version", "Configuration version held", EntryStatus::configVersion);
        gauge("may_start", "1 if the configuration is recent enough to start work", s -> s.mayStart() ? 1 : 0);
    }

    private void counter(String name, String help, ToDoubleFunction<DispatchStats> value) {
        CounterWithCallback.builder()
                .name("teaselhook_entry_" + name + "_total")
                .help(help)
                .callback(callback ->
                        callback.call(value.applyAsDouble(status.get().stats())))
                .register(registry);
    }

    private void gauge(String name, String help, ToDoubleFunction<EntryStatus> value) {
        GaugeWithCallback.builder()
                .name("teaselhook_entry_" + name)
                .help(help)
                .callback(callback -> callback.call(value.applyAsDouble(status.get())))
                .register(registry);
    }
}
