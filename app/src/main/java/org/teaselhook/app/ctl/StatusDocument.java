package org.teaselhook.app.ctl;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.teaselhook.net.http.HttpReply;

/**
 * An entry's response to a status request: the configuration version of each process.
 */
final class StatusDocument {

    private final JsonNode root;

    private StatusDocument(JsonNode root) {
        this.root = root;
    }

    static StatusDocument of(HttpReply reply) {
        return new StatusDocument(Output.tree(reply));
    }

    long version() {
        return root.path("version").asLong();
    }

    boolean isInForce() {
        return root.path("inForce").asBoolean();
    }

    boolean isTableReachable() {
        return root.path("tableReachable").asBoolean();
    }

    JsonNode zonesOut() {
        return root.path("zonesOut");
    }

    JsonNode processes() {
        return root.path("processes");
    }

    /** Returns a description of each process that has not confirmed the given version or a later one. */
    List<String> unconfirmed(long version) {
        List<String> result = new ArrayList<>();
        for (JsonNode process : processes()) {
            if (process.path("version").asLong() < version) {
                result.add(process.path("kind").asText() + " "
                        + process.path("name").asText() + " (version "
                        + process.path("version").asLong() + (isSilent(process) ? ", silent" : "") + ")");
            }
        }
        return result;
    }

    static boolean isSilent(JsonNode process) {
        return process.path("condition").asText().equals("silent");
    }
}
