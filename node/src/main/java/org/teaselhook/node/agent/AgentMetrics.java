package org.teaselhook.node.agent;

import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.teaselhook.core.dispatch.RefusalReason;
import org.teaselhook.wire.TaskStatus;

/**
 * The agent's metrics.
 */
final class AgentMetrics {

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter starts = Counter.builder()
            .name("teaselhook_agent_starts_total")
            .help("Tasks sent to a target")
            .register(registry);
    private final Counter refusals = Counter.builder()
            .name("teaselhook_agent_refusals_total")
            .help("Dispatches refused")
            .labelNames("reason")
            .register(registry);
    private final Counter results = Counter.builder()
            .name("teaselhook_agent_results_total")
            .help("Tasks ended")
            .labelNames("status")
            .register(registry);

    AgentMetrics(Supplier<AgentStatus> status) {
        gauge("teaselhook_agent_running", "Running tasks", status, AgentStatus::running);
        gauge("teaselhook_agent_granted_slots", "Slots granted and not used", status, AgentStatus::granted);
        gauge(
                "teaselhook_agent_unacknowledged",
                "Started tasks without acknowledgement",
                status,
                s -> s.unacknowledged());
        gauge("teaselhook_agent_entries", "Connected entries", status, AgentStatus::entries);
        gauge("teaselhook_agent_config_version", "Newest configuration seen", status, s -> s.configVersion());
    }

    private void gauge(String name, String help, Supplier<AgentStatus> status, ToDoubleFunction<AgentStatus> value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.applyAsDouble(status.get())))
                .register(registry);
    }

    PrometheusRegistry registry() {
        return registry;
    }

    void started() {
        starts.inc();
    }

    void refused(RefusalReason reason) {
        refusals.labelValues(reason.name()).inc();
    }

    void finished(TaskStatus status) {
        results.labelValues(status.name()).inc();
    }
}
