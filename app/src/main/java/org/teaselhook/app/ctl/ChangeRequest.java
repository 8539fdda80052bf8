package org.teaselhook.app.ctl;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.node.admin.AdminHeaders;

/**
 * Sends a change to an entry and, with {@code --wait}, waits until it is in force.
 */
final class ChangeRequest {

    private static final long POLL_MILLIS = 200;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final EntryOptions entries;
    private final ChangeOptions options;
    private final Output output;

    ChangeRequest(EntryOptions entries, ChangeOptions options, Output output) {
        this.entries = entries;
        this.options = options;
        this.output = output;
    }

    /** Sends the change with the headers for its operation id and author. */
    ExitCode send(String method, String path, Map<String, String> headers, byte[] body) {
        Map<String, String> allHeaders = new HashMap<>(headers);
        allHeaders.put(AdminHeaders.OPERATION, options.operation());
        allHeaders.put(AdminHeaders.AUTHOR, options.author());
        try (EntryClient client = new EntryClient(entries)) {
            return finish(client, client.send(HttpCall.of(method, path, allHeaders, body)));
        }
    }

    private ExitCode finish(EntryClient client, EntryReply result) {
        if (result instanceof EntryReply.Unreachable unreachable) {
            return output.failure(unreachable);
        }
        if (result instanceof EntryReply.Unsettled unsettled) {
            return unsettled(unsettled.reason());
        }
        HttpReply reply = ((EntryReply.Replied) result).reply();
        if (reply.status() == UNAVAILABLE) {
            output.failure(reply);
            return retryHint();
        }
        if (reply.status() != OK) {
            return output.failure(reply);
        }
        return accepted(client, Output.tree(reply));
    }

    private ExitCode unsettled(String reason) {
        return output.failure(
                ExitCode.UNSETTLED,
                "the change may have been accepted: " + reason,
                "run the same command again with --operation " + options.operation());
    }

    private ExitCode retryHint() {
        if (!output.isJson()) {
            output.err().println("remedy: run the same command again with --operation " + options.operation());
        }
        return ExitCode.UNSETTLED;
    }

    private ExitCode accepted(EntryClient client, JsonNode reply) {
        long version = reply.path("version").asLong();
        List<String> unconfirmed =
                options.waitMillis() == 0 ? List.of() : waitUntilInForce(client, version, options.waitMillis());
        if (output.isJson()) {
            printJson((ObjectNode) reply, unconfirmed);
        } else {
            printText(reply, unconfirmed);
        }
        return unconfirmed.isEmpty() ? ExitCode.DONE : ExitCode.NOT_IN_FORCE;
    }

    private void printJson(ObjectNode reply, List<String> unconfirmed) {
        reply.put("operation", options.operation());
        if (options.waitMillis() > 0) {
            reply.put("inForce", unconfirmed.isEmpty());
            unconfirmed.forEach(reply.putArray("unconfirmed")::add);
        }
        output.print(reply);
    }

    private void printText(JsonNode reply, List<String> unconfirmed) {
        String change = reply.path("changed").asBoolean() ? "accepted as" : "nothing to change; current is";
        String repeated = reply.path("repeated").asBoolean() ? " (by an earlier attempt)" : "";
        output.out().println(change + " version " + reply.path("version").asLong() + repeated);
        if (options.waitMillis() > 0 && unconfirmed.isEmpty()) {
            output.out().println("in force");
        }
        unconfirmed.forEach(name -> output.err().println("not confirmed: " + name));
    }

    // -- confirmation

    /** Returns the processes that have not confirmed; empty if the change is in force. */
    private List<String> waitUntilInForce(EntryClient client, long version, long waitMillis) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        List<String> unconfirmed = unconfirmed(client, version);
        while (!unconfirmed.isEmpty() && deadlineNanos - System.nanoTime() > 0) {
            pause();
            unconfirmed = unconfirmed(client, version);
        }
        return unconfirmed;
    }

    private static List<String> unconfirmed(EntryClient client, long version) {
        EntryReply result = client.send(HttpCall.of("GET", "/v1/admin/status"));
        if (!(result instanceof EntryReply.Replied replied) || replied.reply().status() != OK) {
            return List.of("every process: no entry answered the status request");
        }
        return StatusDocument.of(replied.reply()).unconfirmed(version);
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
