package org.teaselhook.node.caller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;

/**
 * Reads the JSON document of a job.
 *
 * <pre>{@code
 * {"service": "storefront", "tasks": [{"kind": "chart", "body": "A4"}, {"kind": "chart", "body64": "AAEC"}]}
 * }</pre>
 */
final class JobDocument {

    private static final ObjectMapper JSON = new ObjectMapper()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
    private static final Set<String> JOB_MEMBERS = Set.of("service", "tasks");
    private static final Set<String> TASK_MEMBERS = Set.of("kind", "body", "body64", "contentType");

    private final int maxTasks;

    private JobDocument(int maxTasks) {
        this.maxTasks = maxTasks;
    }

    static JobDocument of(int maxTasks) {
        return new JobDocument(maxTasks);
    }

    <T> T read(byte[] body, BiFunction<String, List<TaskBody>, T> parsed, Function<Problem, T> malformed) {
        try {
            JsonNode root = JSON.readTree(body);
            return parsed.apply(service(root), tasks(root));
        } catch (TooManyTasksException e) {
            return malformed.apply(Problem.of(ProblemKind.TOO_LARGE, e.getMessage()));
        } catch (IOException | IllegalArgumentException e) {
            return malformed.apply(Problem.of(ProblemKind.BAD_REQUEST, "not a job document: " + firstLine(e)));
        }
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    // -- members

    private static String service(JsonNode root) {
        require(root != null && root.isObject(), "the document must be an object");
        requireOnly(root, JOB_MEMBERS, "the job");
        return text(root, "service", "the job");
    }

    private List<TaskBody> tasks(JsonNode root) {
        JsonNode tasks = root.path("tasks");
        require(tasks.isArray(), "tasks must be an array");
        require(!tasks.isEmpty(), "tasks is empty; a job has at least one task");
        if (tasks.size() > maxTasks) {
            throw new TooManyTasksException(
                    "the job has " + tasks.size() + " tasks; at most " + maxTasks + " are allowed");
        }
        List<TaskBody> result = new ArrayList<>(tasks.size());
        for (JsonNode task : tasks) {
            result.add(task(task, "task " + result.size()));
        }
        return result;
    }

    private static TaskBody task(JsonNode task, String where) {
        require(task.isObject(), where + " must be an object");
        requireOnly(task, TASK_MEMBERS, where);
        require(!(task.has("body") && task.has("body64")), where + " has body and body64; give one");
        String contentType = task.has("contentType") ? text(task, "contentType", where) : "";
        return new TaskBody(text(task, "kind", where), contentType, body(task, where));
    }

    private static byte[] body(JsonNode task, String where) {
        if (task.has("body64")) {
            return java.util.Base64.getDecoder().decode(text(task, "body64", where));
        }
        return task.has("body") ? text(task, "body", where).getBytes(StandardCharsets.UTF_8) : new byte[0];
    }

    private static String text(JsonNode parent, String member, String where) {
        JsonNode value = parent.path(member);
        require(value.isTextual(), where + " needs the member " + member + " as a string");
        return value.textValue();
    }

    private static void requireOnly(JsonNode object, Set<String> members, String where) {
        for (Iterator<String> names = object.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            require(members.contains(name), where + " has the unknown member " + name);
        }
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    private static final class TooManyTasksException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        TooManyTasksException(String message) {
            super(message);
        }
    }
}
