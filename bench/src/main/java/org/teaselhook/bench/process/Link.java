package org.teaselhook.bench.process;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

import org.teaselhook.standin.relay.Relay;

/**
 * The way to a server.
 *
 * @param address the address that clients connect to
 * @param relay what stands between, or empty if clients connect directly
 */
public record Link(InetSocketAddress address, Optional<Relay> relay) {

    /** Checks that nothing is null. */
    public Link {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(relay, "relay is null");
    }
}
