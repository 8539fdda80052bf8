package org.teaselhook.app.ctl;

import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpReply;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Shows which process runs which version and which availability zones are out.
 */
@Command(
        name = "status",
        description = "Prints which process runs which version, which have yet to confirm, and which zones are out.",
        mixinStandardHelpOptions = true)
final class StatusCommand implements Callable<Integer> {

    @Mixin
    private EntryOptions entries;

    @Mixin
    private Output output;

    @Override
    public Integer call() {
        return new Query(entries, output)
                .ask(HttpCall.of("GET", "/v1/admin/status"), this::print)
                .code();
    }

    private void print(HttpReply reply) {
        JsonNode status = Output.tree(reply);
        if (output.isJson()) {
            output.print(status);
            return;
        }
        String table = status.path("tableReachable").asBoolean() ? "reached" : "not reached";
        output.out()
                .println("version " + status.path("version").asLong() + ", "
                        + (status.path("inForce").asBoolean() ? "in force" : "not in force everywhere")
                        + "; table service " + table);
        status.path("zonesOut").forEach(zone -> output.out().println("zone " + zone.asText() + " is out"));
        status.path("processes").forEach(this::printProcess);
        status.path("unconfirmed").forEach(name -> output.out().println("not confirmed: " + name.asText()));
    }

    private void printProcess(JsonNode process) {
        output.out()
                .printf(
                        "%-6s %-20s zone %-16s version %d%s%n",
                        process.path("kind").asText(),
                        process.path("name").asText(),
                        process.path("zone").asText(),
                        process.path("version").asLong(),
                        process.path("leaving").asBoolean() ? " leaving" : "");
    }
}
