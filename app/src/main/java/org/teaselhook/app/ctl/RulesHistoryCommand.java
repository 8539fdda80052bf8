package org.teaselhook.app.ctl;

import java.time.Instant;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpReply;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Shows who changed what.
 */
@Command(
        name = "history",
        description = "Prints the newest accepted versions, who applied them, and the lines that changed.",
        mixinStandardHelpOptions = true)
final class RulesHistoryCommand implements Callable<Integer> {

    @Mixin
    private EntryOptions entries;

    @Mixin
    private Output output;

    @Override
    public Integer call() {
        return new Query(entries, output)
                .ask(HttpCall.of("GET", "/v1/admin/rules/history", Map.of(), new byte[0]), this::print)
                .code();
    }

    private void print(HttpReply reply) {
        JsonNode history = Output.tree(reply);
        if (output.isJson()) {
            output.print(history);
            return;
        }
        history.path("versions").forEach(this::printVersion);
    }

    private void printVersion(JsonNode version) {
        output.out()
                .println("version " + version.path("version").asLong() + "  "
                        + Instant.ofEpochMilli(version.path("atMillis").asLong()) + "  "
                        + version.path("author").asText() + "  "
                        + version.path("operation").asText());
        version.path("difference").forEach(line -> output.out().println("  " + line.asText()));
    }
}
