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
 * Handles operators' requests under {@code /v1/admin/}.
 */
public final class AdminHandler implements HttpHandler {

    /** The prefix of all paths. */
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
     * @param store the configuration to read and change
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
                        ? completed(AdminReplies.rules(current.get(), "table-service"))
                        : cluster.heldConfig().thenApply(AdminHandler::heldConfigReply));
    }

    private static HttpReply heldConfigReply(HeldConfig held) {
        ConfigRecord record = new ConfigRecord(held.version(), held.operation(), "", 0, held.text());
        return AdminReplies.rules(record, "entry");
    }

    private CompletionStage<HttpReply> apply(HttpCall call) {
        Optional<ConfigVersion> expected =
                call.header(AdminHeaders.EXPECTED_VERSION).flatMap(AdminHeaders::parseVersion);
        if (expected.isEmpty()) {
            return completed(AdminReplies.badRequest(
                    "the header Teaselhook-Expected-Version is missing or not a number",
                    "send the version that the file is based on; `ctl rules show` prints it"));
        }
        return runOperation(
                call,
                operation -> store.apply(
                        expected.get(),
                        new String(call.body(), StandardCharsets.UTF_8),
                        operation.id(),
                        operation.author()));
    }

    private CompletionStage<HttpReply> history(HttpCall call) {
        int limit = call.parameter("limit")
                .flatMap(AdminHeaders::parseVersion)
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
            return completed(AdminReplies.unknownPath(call.path()));
        }
        if (!call.method().equals("POST")) {
            return completed(AdminReplies.wrongMethod("POST"));
        }
        if (!RuleName.isValid(parts[1])) {
            return completed(AdminReplies.badRequest("the zone's name is not valid", RuleName.REMEDY));
        }
        return parts[2].equals("out") ? zoneOut(call, parts[1]) : zoneIn(call, parts[1]);
    }

    private CompletionStage<HttpReply> zoneOut(HttpCall call, String zone) {
        String reason = new String(call.body(), StandardCharsets.UTF_8);
        return runOperation(
                call,
                operation -> store.edit(
                        "zone " + zone + " out",
                        text -> text.withZoneOut(
                                zone, operation.author(), reason.isBlank() ? "taken out by command" : reason),
                        operation.id(),
                        operation.author()));
    }

    private CompletionStage<HttpReply> zoneIn(HttpCall call, String zone) {
        return runOperation(
                call,
                operation -> store.edit(
                        "zone " + zone + " in",
                        (RulesText text) -> text.withZoneIn(zone),
                        operation.id(),
                        operation.author()));
    }

    // -- status

    private CompletionStage<HttpReply> status() {
        return cluster.heldConfig().thenCombine(cluster.processes(), AdminReplies::status);
    }

    // -- changes

    private interface OperationCall {
        CompletionStage<ApplyResult> start(Operation operation);
    }

    private record Operation(String id, String author) {}

    private CompletionStage<HttpReply> runOperation(HttpCall call, OperationCall operationCall) {
        Optional<String> id = call.header(AdminHeaders.OPERATION).filter(RuleName::isValid);
        Optional<String> author = call.header(AdminHeaders.AUTHOR).filter(AdminHeaders::isValidAuthor);
        if (id.isEmpty()) {
            return completed(AdminReplies.badRequest(
                    "the header Teaselhook-Operation is missing or not valid",
                    "generate an id for each change and send the same id with each retry; " + RuleName.REMEDY));
        }
        if (author.isEmpty()) {
            return completed(AdminReplies.badRequest(
                    "the header Teaselhook-Author is missing or not valid",
                    "send the name of the operator, 1 to 64 printable ASCII characters without a colon"));
        }
        if (cluster.isStopping()) {
            return completed(AdminReplies.stopping());
        }
        Operation operation = new Operation(id.get(), author.get());
        return operationCall.start(operation).thenCompose(result -> propagate(result)
                .thenApply(propagated -> finish(operation, result)));
    }

    private CompletionStage<Void> propagate(ApplyResult result) {
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

    private static CompletionStage<HttpReply> completed(HttpReply reply) {
        return CompletableFuture.completedStage(reply);
    }
}
