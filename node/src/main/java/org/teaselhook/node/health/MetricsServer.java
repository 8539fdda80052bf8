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
 * Serves a process's metrics, and those that every process has.
 */
public final class MetricsServer implements AutoCloseable {

    /** The greatest body of a request, in bytes; scrapes have none. */
    private static final int MAX_BODY_BYTES = 1_024;

    /** The greatest number of connections: some collectors. */
    private static final int MAX_CONNECTIONS = 16;

    /** How long a connection may be idle, in ms: several scrapes. */
    private static final long IDLE_MILLIS = 30_000;

    private final HealthPages pages;
    private final Optional<HttpServer> server;

    private MetricsServer(EventLoops loops, Optional<InetSocketAddress> address, PrometheusRegistry registry) {
        this.pages = new HealthPages(registry, Optional::empty);
        this.server = address.map(bind -> HttpServer.start(
                loops,
                bind,
                call -> CompletableFuture.completedFuture(reply(call)),
                HttpLimits.of(MAX_BODY_BYTES, MAX_CONNECTIONS, IDLE_MILLIS)));
        GaugeWithCallback.builder()
                .name("teaselhook_log_lines_dropped")
                .help("Log lines dropped since the process started, because more were written than the bound allows")
                .callback(callback -> callback.call(BoundedWriter.droppedLines()))
                .register(registry);
    }

    /**
     * Serves metrics, if there is an address for them.
     *
     * @param loops the traffic threads
     * @param address where to listen, or empty
     * @param registry the metrics
     * @return the server
     */
    public static MetricsServer start(
            EventLoops loops, Optional<InetSocketAddress> address, PrometheusRegistry registry) {
        return new MetricsServer(loops, address, registry);
    }

    private HttpReply reply(HttpCall call) {
        return pages.reply(call).orElseGet(() -> HttpReply.of(404, "text/plain", "see /metrics\n"));
    }

    @Override
    public void close() {
        server.ifPresent(HttpServer::close);
    }
}
