package org.teaselhook.node.config;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.member.Member;
import org.teaselhook.core.table.Row;

/**
 * JSON codec of the rows. Methods that return bytes encode a row's value, methods that take a row decode it. A
 * malformed row decodes to an empty result.
 */
final class ConfigCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ConfigCodec() {}

    // -- pointer

    static byte[] pointer(ConfigVersion version, String operation) {
        return toBytes(newObject().put("version", version.value()).put("operation", operation));
    }

    static Optional<ConfigPointer> pointer(Row row) {
        return parseObject(row).map(node -> new ConfigPointer(version(node), text(node, "operation"), row.version()));
    }

    // -- record

    static byte[] record(ConfigRecord record) {
        return toBytes(newObject()
                .put("version", record.version().value())
                .put("operation", record.operation())
                .put("author", record.author())
                .put("atMillis", record.atMillis())
                .put("text", record.text()));
    }

    static Optional<ConfigRecord> record(Row row) {
        return parseObject(row)
                .map(node -> new ConfigRecord(
                        version(node),
                        text(node, "operation"),
                        text(node, "author"),
                        node.path("atMillis").asLong(),
                        text(node, "text")));
    }

    // -- operation

    static byte[] operation(OperationRecord operation) {
        return toBytes(newObject().put("version", operation.version().value()).put("request", operation.request()));
    }

    static Optional<OperationRecord> operation(Row row) {
        return parseObject(row).map(node -> new OperationRecord(version(node), text(node, "request")));
    }

    // -- member

    static byte[] member(Member member) {
        return toBytes(newObject()
                .put("name", member.name())
                .put("incarnation", member.incarnation().toString())
                .put("zone", member.zone())
                .put("grpc", member.grpcAddress())
                .put("http", member.httpAddress())
                .put("beat", member.beat()));
    }

    static Optional<Member> member(Row row) {
        return parseObject(row).flatMap(ConfigCodec::toMember);
    }

    private static Optional<Member> toMember(JsonNode node) {
        try {
            return Optional.of(new Member(
                    text(node, "name"),
                    Incarnation.parse(text(node, "incarnation")),
                    text(node, "zone"),
                    text(node, "grpc"),
                    text(node, "http"),
                    node.path("beat").asLong()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    // -- JSON

    private static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    private static byte[] toBytes(ObjectNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree of strings and numbers is always serializable", e);
        }
    }

    private static Optional<JsonNode> parseObject(Row row) {
        try {
            return Optional.ofNullable(MAPPER.readTree(row.value())).filter(JsonNode::isObject);
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static ConfigVersion version(JsonNode node) {
        return ConfigVersion.of(Math.max(0, node.path("version").asLong()));
    }

    private static String text(JsonNode node, String field) {
        return node.path(field).asText();
    }
}
