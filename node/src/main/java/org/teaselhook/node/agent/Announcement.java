package org.teaselhook.node.agent;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.teaselhook.core.rules.RuleName;
import org.teaselhook.node.settings.SocketAddresses;

/**
 * A target's announcement.
 *
 * @param name the target's name
 * @param service the service whose tasks it runs
 * @param address where it takes them
 */
record Announcement(String name, String service, InetSocketAddress address) {

    /** The form that a target has to send. */
    static final String FORM = "send {\"name\":\"NAME\",\"service\":\"SERVICE\",\"address\":\"IP:PORT\"}";

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Reads an announcement, or returns empty if it has another form. */
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
