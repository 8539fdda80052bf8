package org.teaselhook.standin.target;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.concurrent.ScheduledFuture;
import org.teaselhook.net.http.EventLoops;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.http.HttpResult;

/**
 * Announces a target to the agent beside it each second, and withdraws it. Announcement and withdrawal never overlap.
 */
final class Announcer {

    static final long INTERVAL_MILLIS = 1_000;

    private static final long TIMEOUT_MILLIS = 900;

    private final HttpClient client;
    private final TargetSettings settings;
    private byte[] announcement;
    private CompletionStage<HttpResult> last = CompletableFuture.completedFuture(null);
    private ScheduledFuture<?> schedule;
    private boolean withdrawn;

    Announcer(HttpClient client, TargetSettings settings, int port) {
        this.client = client;
        this.settings = settings;
        this.announcement = announcement(new InetSocketAddress(settings.bind().getAddress(), port));
    }

    /** Announces another address from now on. */
    synchronized void announceAt(InetSocketAddress address) {
        announcement = announcement(address);
        announce();
    }

    private byte[] announcement(InetSocketAddress address) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("name", settings.name());
        json.put("service", settings.service());
        json.put("address", address.getAddress().getHostAddress() + ":" + address.getPort());
        return json.toString().getBytes(StandardCharsets.UTF_8);
    }

    synchronized void start(EventLoops loops) {
        schedule = loops.group().next().scheduleAtFixedRate(this::announce, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private synchronized void announce() {
        if (!withdrawn && last.toCompletableFuture().isDone()) {
            last = send(HttpCall.of("POST", "/v1/targets", Map.of("content-type", "application/json"), announcement));
        }
    }

    synchronized CompletionStage<HttpResult> withdraw() {
        if (!withdrawn) {
            withdrawn = true;
            last = last.thenCompose(ignored -> send(HttpCall.of("DELETE", "/v1/targets/" + settings.name())));
        }
        return last;
    }

    synchronized void stop() {
        withdrawn = true;
        if (schedule != null) {
            schedule.cancel(false);
        }
    }

    private CompletionStage<HttpResult> send(HttpCall call) {
        return client.send(settings.agent(), call, TIMEOUT_MILLIS);
    }
}
