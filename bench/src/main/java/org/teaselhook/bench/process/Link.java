package org.teaselhook.bench.process;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

import org.teaselhook.standin.relay.Relay;

/**
 * The connection path to a server, either direct or through a relay.
 *
 * @param address the address that clients connect to
 * @param relay the relay in front of the server, or empty if clients connect directly
 */
public record Link(InetSocketAddress address, Optional<Relay> relay) {

    /** Checks that nothing is null. */
    public Link {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(relay, "relay is null");
    }
}
