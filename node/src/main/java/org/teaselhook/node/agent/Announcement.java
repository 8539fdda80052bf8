package org.teaselhook.node.agent;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.teaselhook.core.rules.RuleName;
import org.teaselhook.node.settings.SocketAddresses;

/**
 * The announcement by which a target makes itself available to the agent.
 *
 * @param name the target's name
 * @param service the service whose tasks the target runs
 * @param address the address to which tasks are sent
 */
record Announcement(String name, String service, InetSocketAddress address) {

    /** The required format, for error messages. */
    static final String FORMAT = "send {\"name\":\"NAME\",\"service\":\"SERVICE\",\"address\":\"IP:PORT\"}";

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Parses an announcement; returns empty if it is malformed. */
    static Optional<Announcement> parse(byte[] body) {
        try {
            JsonNode json = JSON.readTree(body);
            String name = json.path("name").asText("");
            String service = json.path("service").asText("");
            return RuleName.isValid(name) && RuleName.isValid(service)
                    ? SocketAddresses.parse(json.path("address").asText(""))
                            .map(address -> new Announcement(name, service, address))
                    : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
