package org.teaselhook.net.table;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.teaselhook.core.table.Row;
import org.teaselhook.core.table.Transaction;

/**
 * The JSON encoding of rows and transactions in the table service's HTTP protocol. Values are in base64.
 */
public final class TableJson {

    /** The media type. */
    public static final String CONTENT_TYPE = "application/json";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TableJson() {}

    // -- encoding

    /**
     * Encodes one row.
     *
     * @param row the row
     * @return JSON in UTF-8
     */
    public static byte[] encode(Row row) {
        return bytes(node(row));
    }

    /**
     * Encodes the rows of a scan.
     *
     * @param rows the rows
     * @return JSON in UTF-8
     */
    public static byte[] encode(List<Row> rows) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode array = root.putArray("rows");
        rows.forEach(row -> array.add(node(row)));
        return bytes(root);
    }

    /**
     * Encodes a transaction.
     *
     * @param transaction the transaction
     * @return JSON in UTF-8
     */
    public static byte[] encode(Transaction transaction) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode conditions = root.putArray("conditions");
        transaction
                .conditions()
                .forEach(condition ->
                        conditions.addObject().put("key", condition.key()).put("version", condition.version()));
        ArrayNode writes = root.putArray("writes");
        transaction.writes().forEach(write -> {
            ObjectNode node = writes.addObject().put("key", write.key());
            write.value().ifPresentOrElse(value -> node.put("value", value), () -> node.putNull("value"));
        });
        return bytes(root);
    }

    /**
     * Encodes the key of a transaction's failed condition.
     *
     * @param key the key
     * @return JSON in UTF-8
     */
    public static byte[] encodeConflict(String key) {
        return bytes(MAPPER.createObjectNode().put("conflict", key));
    }

    private static ObjectNode node(Row row) {
        return MAPPER.createObjectNode()
                .put("key", row.key())
                .put("version", row.version())
                .put("value", row.value());
    }

    private static byte[] bytes(JsonNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    // -- decoding

    /**
     * Decodes one row.
     *
     * @param json JSON in UTF-8
     * @return the row
     * @throws IOException if the JSON is malformed
     */
    public static Row decodeRow(byte[] json) throws IOException {
        return row(MAPPER.readTree(json));
    }

    /**
     * Decodes the rows of a scan.
     *
     * @param json JSON in UTF-8
     * @return the rows
     * @throws IOException if the JSON is malformed
     */
    public static List<Row> decodeRows(byte[] json) throws IOException {
        List<Row> rows = new ArrayList<>();
        for (JsonNode node : array(MAPPER.readTree(json), "rows")) {
            rows.add(row(node));
        }
        return rows;
    }

    /**
     * Decodes a transaction.
     *
     * @param json JSON in UTF-8
     * @return the transaction
     * @throws IOException if the JSON is malformed
     */
    public static Transaction decodeTransaction(byte[] json) throws IOException {
        JsonNode root = MAPPER.readTree(json);
        Transaction result = Transaction.empty();
        for (JsonNode node : array(root, "conditions")) {
            result = result.require(
                    field(node, "key").asText(), field(node, "version").asLong());
        }
        for (JsonNode node : array(root, "writes")) {
            String key = field(node, "key").asText();
            JsonNode value = field(node, "value");
            result = value.isNull() ? result.delete(key) : result.put(key, value.binaryValue());
        }
        return result;
    }

    /**
     * Decodes the key of a transaction's failed condition.
     *
     * @param json JSON in UTF-8
     * @return the key
     * @throws IOException if the JSON is malformed
     */
    public static String decodeConflict(byte[] json) throws IOException {
        return field(MAPPER.readTree(json), "conflict").asText();
    }

    private static Row row(JsonNode node) throws IOException {
        return new Row(
                field(node, "key").asText(),
                field(node, "version").asLong(),
                field(node, "value").binaryValue());
    }

    private static JsonNode array(JsonNode node, String name) throws IOException {
        JsonNode result = field(node, name);
        if (!result.isArray()) {
            throw new IOException(name + " is not an array");
        }
        return result;
    }

    private static JsonNode field(JsonNode node, String name) throws IOException {
        JsonNode result = node == null ? null : node.get(name);
        if (result == null) {
            throw new IOException(name + " is missing");
        }
        return result;
    }
}
