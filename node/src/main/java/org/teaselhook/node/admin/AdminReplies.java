package org.teaselhook.node.admin;

import java.util.Comparator;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.rules.RulesDiff;
import org.teaselhook.core.rules.RulesText;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.node.config.ApplyResult;
import org.teaselhook.node.config.ConfigRecord;

/**
 * Responses to operators: JSON, or a problem document (RFC 9457) if the request fails.
 */
final class AdminReplies {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PROBLEM = "application/problem+json";
    private static final String JSON = "application/json";
    private static final String RETRY_SECONDS = "2";

    private AdminReplies() {}

    // -- changes

    static HttpReply applied(ApplyResult result) {
        if (result instanceof ApplyResult.Applied applied) {
            return accepted(applied.record().version(), applied.repeated(), true);
        }
        if (result instanceof ApplyResult.Unchanged unchanged) {
            return accepted(unchanged.version(), false, false);
        }
        if (result instanceof ApplyResult.Rejected rejected) {
            return rejected(rejected);
        }
        if (result instanceof ApplyResult.Conflict conflict) {
            return conflict(conflict);
        }
        if (result instanceof ApplyResult.OperationReused reused) {
            return problem(
                    409,
                    "operation-reused",
                    "the operation id belongs to another change, which applied version " + reused.version(),
                    "generate a new id for each change");
        }
        return unsettled((ApplyResult.Unsettled) result);
    }

    private static HttpReply accepted(ConfigVersion version, boolean repeated, boolean changed) {
        ObjectNode body = MAPPER.createObjectNode()
                .put("version", version.value())
                .put("changed", changed)
                .put("repeated", repeated);
        return json(200, JSON, body).withHeader(AdminHeaders.VERSION, version.toString());
    }

    private static HttpReply rejected(ApplyResult.Rejected rejected) {
        String detail = rejected.faults().size() + " faults; the current file stays in force";
        ObjectNode body = problemBody(422, "bad-rules", detail, "correct the reported lines and apply again");
        ArrayNode faults = body.putArray("faults");
        rejected.faults().forEach(fault -> faults.addObject()
                .put("line", fault.line())
                .put("reason", fault.reason())
                .put("remedy", fault.remedy()));
        return json(422, PROBLEM, body);
    }

    private static HttpReply conflict(ApplyResult.Conflict conflict) {
        ConfigRecord winner = conflict.winner();
        String detail = "version " + winner.version() + " by " + winner.author() + " is current; nothing was changed";
        ObjectNode body = problemBody(
                409,
                "version-conflict",
                detail,
                "redo the change on version " + winner.version() + "; the difference is included");
        body.put("version", winner.version().value())
                .put("operation", winner.operation())
                .put("author", winner.author());
        ArrayNode difference = body.putArray("difference");
        conflict.difference().lines().forEach(difference::add);
        return json(409, PROBLEM, body);
    }

    private static HttpReply unsettled(ApplyResult.Unsettled unsettled) {
        return problem(
                        503,
                        "unsettled",
                        unsettled.reason() + "; the change may have been accepted",
                        "retry with the same operation id, which resolves the outcome and never applies it twice")
                .withHeader("retry-after", RETRY_SECONDS);
    }

    // -- reads

    static HttpReply rules(ConfigRecord record, String source) {
        return HttpReply.of(200, "text/plain; charset=utf-8", record.text())
                .withHeader(AdminHeaders.VERSION, record.version().toString())
                .withHeader(AdminHeaders.OPERATION, record.operation())
                .withHeader(AdminHeaders.SOURCE, source);
    }

    static HttpReply history(List<ConfigRecord> records) {
        ArrayNode versions = MAPPER.createArrayNode();
        for (int i = 0; i < records.size(); i++) {
            addVersion(versions, records.get(i), i == 0 ? ConfigRecord.none() : records.get(i - 1));
        }
        return json(200, JSON, MAPPER.createObjectNode().set("versions", versions));
    }

    private static void addVersion(ArrayNode versions, ConfigRecord record, ConfigRecord previous) {
        ObjectNode node = versions.addObject()
                .put("version", record.version().value())
                .put("operation", record.operation())
                .put("author", record.author())
                .put("atMillis", record.atMillis());
        boolean consecutive = previous.version().next().equals(record.version());
        if (consecutive) {
            ArrayNode difference = node.putArray("difference");
            RulesDiff.between(RulesText.of(previous.text()), RulesText.of(record.text()))
                    .lines()
                    .forEach(difference::add);
        }
    }

    static HttpReply status(HeldConfig held, List<ProcessStatus> processes) {
        List<ProcessStatus> sorted = processes.stream()
                .sorted(Comparator.comparing(ProcessStatus::kind).thenComparing(ProcessStatus::name))
                .toList();
        ObjectNode body = MAPPER.createObjectNode()
                .put("version", held.version().value())
                .put("operation", held.operation())
                .put("tableReachable", held.tableReachable())
                .put("inForce", sorted.stream().noneMatch(process -> process.isBehind(held.version())));
        ArrayNode zonesOut = body.putArray("zonesOut");
        held.zonesOut().stream().sorted().forEach(zonesOut::add);
        ArrayNode unconfirmed = body.putArray("unconfirmed");
        sorted.stream()
                .filter(process -> process.isBehind(held.version()))
                .forEach(process -> unconfirmed.add(process.kind().label() + " " + process.name()));
        ArrayNode list = body.putArray("processes");
        sorted.forEach(process -> addProcess(list, process));
        return json(200, JSON, body);
    }

    private static void addProcess(ArrayNode list, ProcessStatus process) {
        list.addObject()
                .put("kind", process.kind().label())
                .put("name", process.name())
                .put("zone", process.zone())
                .put("version", process.version().value())
                .put("leaving", process.condition() == ProcessCondition.LEAVING)
                .put("condition", process.condition().label())
                .put("slots", process.slots());
    }

    // -- problems

    static HttpReply badRequest(String detail, String remedy) {
        return problem(400, "bad-request", detail, remedy);
    }

    static HttpReply unknownPath(String path) {
        return problem(404, "unknown-path", "nothing is served at " + path, "see docs/RULES.md for the paths");
    }

    static HttpReply wrongMethod(String allowed) {
        return problem(405, "wrong-method", "the method is not allowed here", "use " + allowed)
                .withHeader("allow", allowed);
    }

    static HttpReply tableUnavailable() {
        return problem(503, "table-unavailable", "the table service is unavailable", "try again after Retry-After")
                .withHeader("retry-after", RETRY_SECONDS);
    }

    static HttpReply stopping() {
        return problem(503, "stopping", "the entry is stopping and accepts no changes", "ask another entry")
                .withHeader("retry-after", RETRY_SECONDS);
    }

    private static HttpReply problem(int status, String type, String detail, String remedy) {
        return json(status, PROBLEM, problemBody(status, type, detail, remedy));
    }

    private static ObjectNode problemBody(int status, String type, String detail, String remedy) {
        return MAPPER.createObjectNode()
                .put("type", "urn:teaselhook:problem:" + type)
                .put("title", type.replace('-', ' '))
                .put("status", status)
                .put("detail", detail)
                .put("remedy", remedy);
    }

    private static HttpReply json(int status, String contentType, ObjectNode body) {
        try {
            return HttpReply.of(status, contentType, MAPPER.writeValueAsBytes(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree of strings and numbers is always serializable", e);
        }
    }
}
