package org.teaselhook.bench.process;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A configuration change stored in the table service.
 *
 * @param version the configuration version that the change created
 * @param operation the operation id
 */
public record StoredChange(long version, String operation) {

    static StoredChange of(JsonNode node) {
        return new StoredChange(
                node.path("version").asLong(), node.path("operation").asText());
    }
}
