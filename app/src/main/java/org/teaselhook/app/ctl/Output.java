package org.teaselhook.app.ctl;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.teaselhook.net.http.HttpReply;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Prints results as text or, with {@code --json}, as one JSON document.
 */
final class Output {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Option(names = "--json", description = "Print one JSON document instead of text.")
    private boolean json;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    boolean isJson() {
        return json;
    }

    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    PrintWriter err() {
        return spec.commandLine().getErr();
    }

    void print(JsonNode document) {
        out().println(document.toString());
    }

    /** Parses the body of a response as JSON; returns a missing node if it is not JSON. */
    static JsonNode tree(HttpReply reply) {
        try {
            return MAPPER.readTree(new String(reply.body(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Prints the problem that an entry answered, with its remedy and details. */
    ExitCode failure(HttpReply reply) {
        JsonNode problem = tree(reply);
        if (json) {
            out().println(
                            problem.isObject()
                                    ? problem.toString()
                                    : object().put("status", reply.status()).toString());
        } else {
            printProblem(reply, problem);
        }
        return switch (problem.path("type").asText()) {
            case "urn:teaselhook:problem:bad-rules" -> ExitCode.BAD_RULES;
            case "urn:teaselhook:problem:version-conflict", "urn:teaselhook:problem:operation-reused" ->
                ExitCode.CONFLICT;
            case "urn:teaselhook:problem:table-unavailable" -> ExitCode.UNREACHABLE;
            default -> ExitCode.FAILED;
        };
    }

    private void printProblem(HttpReply reply, JsonNode problem) {
        if (!problem.isObject()) {
            err().println("error: the entry answered " + reply.status() + "; see its log");
            return;
        }
        err().println("error: " + problem.path("detail").asText());
        problem.path("faults").forEach(fault -> err().println("  line "
                + fault.path("line").asInt() + ": " + fault.path("reason").asText() + "; "
                + fault.path("remedy").asText()));
        problem.path("difference").forEach(line -> err().println("  " + line.asText()));
        err().println("remedy: " + problem.path("remedy").asText());
    }

    /** Prints an error and its remedy, and returns the exit code. */
    ExitCode failure(ExitCode code, String detail, String remedy) {
        if (json) {
            print(object().put("outcome", code.name()).put("detail", detail).put("remedy", remedy));
        } else {
            err().println("error: " + detail);
            err().println("remedy: " + remedy);
        }
        return code;
    }

    /** Prints that no entry could be reached. */
    ExitCode failure(EntryReply.Unreachable unreachable) {
        return failure(
                ExitCode.UNREACHABLE,
                "no entry could be reached; nothing was sent (" + unreachable.reason() + ")",
                "check the addresses given with --entry");
    }
}
