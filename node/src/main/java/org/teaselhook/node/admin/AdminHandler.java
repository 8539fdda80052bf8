package org.teaselhook.node.admin;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.rules.RuleName;
import org.teaselhook.core.rules.RulesText;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpHandler;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.config.ApplyResult;
import org.teaselhook.node.config.ConfigRecord;
import org.teaselhook.node.config.ConfigStore;

/**
 * Answers operators' requests below {@code /v1/admin/}.
 */
public final class AdminHandler implements HttpHandler {

    /** The first part of each path. */
    public static final String PREFIX = "/v1/admin/";

    private static final int DEFAULT_HISTORY = 20;
    private static final int MAX_HISTORY = 1_000;

    private final ConfigStore store;
    private final Cluster cluster;

    private AdminHandler(ConfigStore store, Cluster cluster) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.cluster = Objects.requireNonNull(cluster, "cluster is null");
    }

    // -- factories

    /**
     * Returns a handler.
     *
     * @param store where changes are applied
     * @param cluster the running system
     * @return the handler
     */
    public static AdminHandler of(ConfigStore store, Cluster cluster) {
        return new AdminHandler(store, cluster);
    }

    // -- requests

    @Override
    public CompletionStage<HttpReply> handle(HttpCall call) {
        String path = call.path().startsWith(PREFIX) ? call.path().substring(PREFIX.length()) : "";
        return switch (call.method() + " " + path) {
            case "GET rules" -> rules();
            case "PUT rules" -> apply(call);
            case "GET rules/history" -> history(call);
            case "GET status" -> status();
            default -> zone(call, path);
        };
    }

    // -- rules

    private CompletionStage<HttpReply> rules() {
        return store.current()
                .thenCompose(current -> current.isPresent()
                        ? done(AdminReplies.rules(current.get(), "table-service"))
                        : cluster.held().thenApply(AdminHandler::heldRules));
    }

    private static HttpReply heldRules(HeldConfig held) {
        ConfigRecord record = new ConfigRecord(held.version(), held.operation(), "", 0, held.text());
        return AdminReplies.rules(record, "entry");
    }

    private CompletionStage<HttpReply> apply(HttpCall call) {
        Optional<ConfigVersion> expected =
                call.header(AdminHeaders.EXPECTED_VERSION).flatMap(AdminHeaders::version);
        if (expected.isEmpty()) {
            return done(AdminReplies.badRequest(
                    "the header Teaselhook-Expected-Version is missing or no number",
                    "send the version from which the file was made; `ctl rules show` prints it"));
        }
        return operated(
                call,
                operation -> store.apply(
                        expected.get(),
                        new String(call.body(), StandardCharsets.UTF_8),
                        operation.id(),
                        operation.author()));
    }

    private CompletionStage<HttpReply> history(HttpCall call) {
        int limit = call.parameter("limit")
                .flatMap(AdminHeaders::version)
                .map(number -> (int) Math.max(1, Math.min(MAX_HISTORY, number.value())))
                .orElse(DEFAULT_HISTORY);
        return store.history(limit)
                .thenApply(records -> records.map(AdminReplies::history).orElseGet(AdminReplies::tableUnavailable));
    }

    // -- zones

    private CompletionStage<HttpReply> zone(HttpCall call, String path) {
        String[] parts = path.split("/", -1);
        boolean isZone = parts.length == 3 && parts[0].equals("zones");
        if (!isZone || !parts[2].equals("out") && !parts[2].equals("in")) {
            return done(AdminReplies.unknownPath(call.path()));
        }
        if (!call.method().equals("POST")) {
            return done(AdminReplies.wrongMethod("POST"));
        }
        if (!RuleName.isValid(parts[1])) {
            return done(AdminReplies.badRequest("the zone's name is not valid", RuleName.REMEDY));
        }
        return parts[2].equals("out") ? zoneOut(call, parts[1]) : zoneIn(call, parts[1]);
    }

    private CompletionStage<HttpReply> zoneOut(HttpCall call, String zone) {
        String why = new String(call.body(), StandardCharsets.UTF_8);
        return operated(
                call,
                operation -> store.edit(
                        "zone " + zone + " out",
                        text -> text.withZoneOut(
                                zone, operation.author(), why.isBlank() ? "taken out by command" : why),
                        operation.id(),
                        operation.author()));
    }

    private CompletionStage<HttpReply> zoneIn(HttpCall call, String zone) {
        return operated(
                call,
                operation -> store.edit(
                        "zone " + zone + " in",
                        (RulesText text) -> text.withZoneIn(zone),
                        operation.id(),
                        operation.author()));
    }

    // -- status

    private CompletionStage<HttpReply> status() {
        return cluster.held().thenCombine(cluster.processes(), AdminReplies::status);
    }

    // -- changes

    private interface Applying {
        CompletionStage<ApplyResult> start(Operation operation);
    }

    private record Operation(String id, String author) {}

    private CompletionStage<HttpReply> operated(HttpCall call, Applying applying) {
        Optional<String> id = call.header(AdminHeaders.OPERATION).filter(RuleName::isValid);
        Optional<String> author = call.header(AdminHeaders.AUTHOR).filter(AdminHeaders::isAuthor);
        if (id.isEmpty()) {
            return done(AdminReplies.badRequest(
                    "the header Teaselhook-Operation is missing or not valid",
                    "draw an id for each change and send it again with each further try; " + RuleName.REMEDY));
        }
        if (author.isEmpty()) {
            return done(AdminReplies.badRequest(
                    "the header Teaselhook-Author is missing or not valid",
                    "send the name of the operator, 1 to 64 printable ASCII characters without colon"));
        }
        if (cluster.isStopping()) {
            return done(AdminReplies.stopping());
        }
        Operation operation = new Operation(id.get(), author.get());
        return applying.start(operation)
                .thenCompose(result -> spread(result).thenApply(spread -> finish(operation, result)));
    }

    private CompletionStage<Void> spread(ApplyResult result) {
        if (result instanceof ApplyResult.Applied applied
                && !applied.record().text().isEmpty()) {
            ConfigRecord record = applied.record();
            return cluster.push(record.version(), record.text(), record.operation());
        }
        return CompletableFuture.completedStage(null);
    }

    private static HttpReply finish(Operation operation, ApplyResult result) {
        HttpReply reply = AdminReplies.applied(result);
        LogLine.of("config-change")
                .with("operation", operation.id())
                .with("author", operation.author())
                .with("result", result.getClass().getSimpleName())
                .with("status", reply.status())
                .info();
        return reply;
    }

    private static CompletionStage<HttpReply> done(HttpReply reply) {
        return CompletableFuture.completedStage(reply);
    }
}
