package org.teaselhook.app.ctl;

import java.time.Instant;

import com.fasterxml.jackson.databind.JsonNode;
import org.teaselhook.net.http.HttpReply;
import picocli.CommandLine.Command;

/**
 * Shows the accepted versions of the rules file, with author and difference.
 */
@Command(
        name = "history",
        description = "Prints the newest accepted versions, who applied them, and the lines that changed.",
        mixinStandardHelpOptions = true)
final class RulesHistoryCommand extends QueryCommand {

    RulesHistoryCommand() {
        super("/v1/admin/rules/history");
    }

    @Override
    void printText(HttpReply reply) {
        Output.tree(reply).path("versions").forEach(this::printVersion);
    }

    private void printVersion(JsonNode version) {
        output().out()
                .println("version " + version.path("version").asLong() + "  "
                        + Instant.ofEpochMilli(version.path("atMillis").asLong()) + "  "
                        + version.path("author").asText() + "  "
                        + version.path("operation").asText());
        version.path("difference").forEach(line -> output().out().println("  " + line.asText()));
    }
}
