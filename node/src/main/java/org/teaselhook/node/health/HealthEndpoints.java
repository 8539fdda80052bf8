package org.teaselhook.node.health;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import io.prometheus.metrics.config.EscapingScheme;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpReply;

/**
 * HTTP endpoints for liveness, readiness and metrics: {@code GET /live}, {@code GET /ready} and {@code GET /metrics}.
 *
 * <pre>{@code
 * HealthEndpoints endpoints =
 *         new HealthEndpoints(registry, () -> connected ? Optional.empty() : Optional.of("no entry"));
 * endpoints.handle(call).orElseGet(() -> notFound());
 * }</pre>
 */
public final class HealthEndpoints {

    private static final String TEXT = "text/plain; charset=utf-8";

    private final PrometheusRegistry registry;
    private final Supplier<Optional<String>> notReadyReason;

    /**
     * Creates the endpoints.
     *
     * @param registry the registry of the metrics to serve
     * @param notReadyReason returns why the daemon is not ready, or empty if it is; called on I/O threads
     */
    public HealthEndpoints(PrometheusRegistry registry, Supplier<Optional<String>> notReadyReason) {
        this.registry = Objects.requireNonNull(registry, "registry is null");
        this.notReadyReason = Objects.requireNonNull(notReadyReason, "notReadyReason is null");
    }

    /**
     * Answers a request for one of the endpoints.
     *
     * @param call the request
     * @return the response, or empty if the request is for another path or method
     */
    public Optional<HttpReply> handle(HttpCall call) {
        if (!call.method().equals("GET")) {
            return Optional.empty();
        }
        return switch (call.path()) {
            case "/live" -> Optional.of(HttpReply.of(200, TEXT, "live\n"));
            case "/ready" -> Optional.of(ready());
            case "/metrics" -> Optional.of(metrics());
            default -> Optional.empty();
        };
    }

    private HttpReply ready() {
        return notReadyReason
                .get()
                .map(reason -> HttpReply.of(503, TEXT, "not ready: " + reason + "\n"))
                .orElseGet(() -> HttpReply.of(200, TEXT, "ready\n"));
    }

    private HttpReply metrics() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape(), EscapingScheme.DEFAULT);
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
        return HttpReply.of(200, PrometheusTextFormatWriter.CONTENT_TYPE, out.toByteArray());
    }
}
