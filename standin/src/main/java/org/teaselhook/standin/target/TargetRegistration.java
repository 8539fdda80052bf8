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
 * Registers a target with its local agent once per second, and deregisters it. At most one request is in flight.
 */
final class TargetRegistration {

    static final long INTERVAL_MILLIS = 1_000;

    private static final long TIMEOUT_MILLIS = 900;

    private final HttpClient client;
    private final TargetSettings settings;
    private byte[] registrationBody;
    private CompletionStage<HttpResult> lastRequest = CompletableFuture.completedFuture(null);
    private ScheduledFuture<?> schedule;
    private boolean renewalStopped;

    TargetRegistration(HttpClient client, TargetSettings settings, int port) {
        this.client = client;
        this.settings = settings;
        this.registrationBody =
                registrationBody(new InetSocketAddress(settings.bind().getAddress(), port));
    }

    /** Registers another address from now on. */
    synchronized void changeAddress(InetSocketAddress address) {
        registrationBody = registrationBody(address);
        register();
    }

    private byte[] registrationBody(InetSocketAddress address) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("name", settings.name());
        json.put("service", settings.service());
        json.put("address", address.getAddress().getHostAddress() + ":" + address.getPort());
        return json.toString().getBytes(StandardCharsets.UTF_8);
    }

    synchronized void start(EventLoops loops) {
        schedule = loops.group().next().scheduleAtFixedRate(this::register, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private synchronized void register() {
        if (!renewalStopped && lastRequest.toCompletableFuture().isDone()) {
            lastRequest = send(
                    HttpCall.of("POST", "/v1/targets", Map.of("content-type", "application/json"), registrationBody));
        }
    }

    synchronized CompletionStage<HttpResult> deregister() {
        if (!renewalStopped) {
            renewalStopped = true;
            lastRequest =
                    lastRequest.thenCompose(ignored -> send(HttpCall.of("DELETE", "/v1/targets/" + settings.name())));
        }
        return lastRequest;
    }

    synchronized void stop() {
        renewalStopped = true;
        if (schedule != null) {
            schedule.cancel(false);
        }
    }

    private CompletionStage<HttpResult> send(HttpCall call) {
        return client.send(settings.agent(), call, TIMEOUT_MILLIS);
    }
}
