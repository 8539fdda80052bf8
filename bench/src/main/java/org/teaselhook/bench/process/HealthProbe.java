package org.teaselhook.bench.process;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.http.HttpResult;

/** Probes the readiness and liveness of daemons. */
public final class HealthProbe {

    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long PROBE_TIMEOUT_MILLIS = 1_000;
    private static final String READY_PATH = "/ready";
    private static final String LIVE_PATH = "/live";
    private static final int STATUS_OK = 200;

    private final HttpClient client;
    private final long probeTimeoutMillis;

    private HealthProbe(HttpClient client, long probeTimeoutMillis) {
        this.client = client;
        this.probeTimeoutMillis = probeTimeoutMillis;
    }

    // -- factories

    /**
     * Returns a probe.
     *
     * @param client sends the probes
     * @return the probe
     */
    public static HealthProbe of(HttpClient client) {
        return of(client, PROBE_TIMEOUT_MILLIS);
    }

    /**
     * Returns a probe.
     *
     * @param client sends the probes
     * @param probeTimeoutMillis the timeout of one probe, in milliseconds
     * @return the probe
     */
    public static HealthProbe of(HttpClient client, long probeTimeoutMillis) {
        return new HealthProbe(client, probeTimeoutMillis);
    }

    // -- probing

    /**
     * Probes the readiness of a daemon once.
     *
     * @param address the daemon's HTTP address
     * @return true if it answered {@code GET /ready} with status 200
     */
    public boolean isReady(InetSocketAddress address) {
        return isOk(address, READY_PATH);
    }

    /**
     * Waits until a daemon is ready.
     *
     * @param address the daemon's HTTP address
     * @param timeout the longest wait
     * @return true if it became ready in time
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitReady(InetSocketAddress address, Duration timeout) throws InterruptedException {
        return await(address, READY_PATH, timeout);
    }

    /**
     * Waits until a daemon is live, whether ready or not.
     *
     * @param address the daemon's HTTP address
     * @param timeout the longest wait
     * @return true if it became live in time
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitLive(InetSocketAddress address, Duration timeout) throws InterruptedException {
        return await(address, LIVE_PATH, timeout);
    }

    private boolean await(InetSocketAddress address, String path, Duration timeout) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (!isOk(address, path)) {
            if (System.nanoTime() - deadlineNanos > 0) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        return true;
    }

    private boolean isOk(InetSocketAddress address, String path) {
        HttpResult result = client.send(address, HttpCall.of("GET", path), probeTimeoutMillis)
                .toCompletableFuture()
                .join();
        return result instanceof HttpResult.Replied replied && replied.reply().status() == STATUS_OK;
    }
}
