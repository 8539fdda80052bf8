package org.teaselhook.bench.process;

import java.net.InetSocketAddress;
import java.util.OptionalLong;

import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.http.HttpResult;

/** The metrics page of one daemon. */
public final class MetricsPage {

    private static final long TIMEOUT_MILLIS = 1_000;

    private final HttpClient client;
    private final InetSocketAddress daemon;

    private MetricsPage(HttpClient client, InetSocketAddress daemon) {
        this.client = client;
        this.daemon = daemon;
    }

    // -- factories

    /**
     * Returns the page of a daemon.
     *
     * @param client sends the requests
     * @param daemon the daemon's HTTP address
     * @return the page
     */
    public static MetricsPage of(HttpClient client, InetSocketAddress daemon) {
        return new MetricsPage(client, daemon);
    }

    // -- reads

    /**
     * Reads a metric without labels; blocks until the response arrives.
     *
     * @param name the metric's name
     * @return its value, truncated to an integer, or empty if it could not be read
     */
    public OptionalLong value(String name) {
        HttpResult result = client.send(daemon, HttpCall.of("GET", "/metrics"), TIMEOUT_MILLIS)
                .toCompletableFuture()
                .join();
        return result instanceof HttpResult.Replied replied
                ? parse(replied.reply().text(), name)
                : OptionalLong.empty();
    }

    private static OptionalLong parse(String page, String name) {
        return page.lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(name.length() + 1)))
                .findFirst();
    }
}
