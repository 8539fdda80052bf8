package org.teaselhook.node.health;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.teaselhook.net.http.EventLoops;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpLimits;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.HttpServer;
import org.teaselhook.net.log.BoundedWriter;

/**
 * Serves the metrics of a process over HTTP and adds the metrics that all processes have in common.
 */
public final class MetricsServer implements AutoCloseable {

    /** Maximum size of a request body in bytes. Scrapes have no body. */
    private static final int MAX_BODY_BYTES = 1_024;

    /** Maximum number of connections, enough for a few metrics collectors. */
    private static final int MAX_CONNECTIONS = 16;

    /** Idle timeout of a connection, which spans several scrapes. */
    private static final long IDLE_MILLIS = 30_000;

    private final HealthEndpoints endpoints;
    private final Optional<HttpServer> server;

    private MetricsServer(EventLoops loops, Optional<InetSocketAddress> address, PrometheusRegistry registry) {
        this.endpoints = new HealthEndpoints(registry, Optional::empty);
        this.server = address.map(bindAddress -> HttpServer.start(
                loops,
                bindAddress,
                call -> CompletableFuture.completedFuture(reply(call)),
                HttpLimits.of(MAX_BODY_BYTES, MAX_CONNECTIONS, IDLE_MILLIS)));
        GaugeWithCallback.builder()
                .name("teaselhook_log_lines_dropped")
                .help("Log lines dropped since the process started, because more were written than the bound allows")
                .callback(callback -> callback.call(BoundedWriter.droppedLines()))
                .register(registry);
    }

    /**
     * Starts the server if an address is given.
     *
     * @param loops the I/O threads
     * @param address the address to listen on, or empty to serve no metrics
     * @param registry the registry of the metrics to serve
     * @return the server
     */
    public static MetricsServer start(
            EventLoops loops, Optional<InetSocketAddress> address, PrometheusRegistry registry) {
        return new MetricsServer(loops, address, registry);
    }

    private HttpReply reply(HttpCall call) {
        return endpoints.handle(call).orElseGet(() -> HttpReply.of(404, "text/plain", "see /metrics\n"));
    }

    @Override
    public void close() {
        server.ifPresent(HttpServer::close);
    }
}
