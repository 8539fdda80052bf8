package org.teaselhook.app.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import org.teaselhook.net.http.HttpReply;
import picocli.CommandLine.Command;

/**
 * Shows the configuration version of each process and the availability zones that are out.
 */
@Command(
        name = "status",
        description = "Prints the version of each process, those that have not confirmed, and the zones that are out.",
        mixinStandardHelpOptions = true)
final class StatusCommand extends QueryCommand {

    StatusCommand() {
        super("/v1/admin/status");
    }

    @Override
    void printText(HttpReply reply) {
        StatusDocument status = StatusDocument.of(reply);
        output().out()
                .println("version " + status.version() + ", "
                        + (status.isInForce() ? "in force" : "not in force everywhere")
                        + "; table service " + (status.isTableReachable() ? "reached" : "not reached"));
        status.zonesOut().forEach(zone -> output().out().println("zone " + zone.asText() + " is out"));
        status.processes().forEach(this::printProcess);
        status.unconfirmed(status.version()).forEach(name -> output().out().println("not confirmed: " + name));
    }

    private void printProcess(JsonNode process) {
        output().out()
                .printf(
                        "%-6s %-20s zone %-16s version %d%s%n",
                        process.path("kind").asText(),
                        process.path("name").asText(),
                        process.path("zone").asText(),
                        process.path("version").asLong(),
                        condition(process));
    }

    private static String condition(JsonNode process) {
        String condition = process.path("condition").asText();
        return condition.equals("live") ? "" : " " + condition;
    }
}
