package org.teaselhook.bench.process;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.channel.EventLoopGroup;
import org.teaselhook.standin.relay.Relay;

/** The relays of a site; without relays, clients connect to servers directly. */
final class SiteRelays implements AutoCloseable {

    private final EventLoopGroup group;
    private final boolean relayed;
    private final List<Relay> relays = new ArrayList<>();

    SiteRelays(EventLoopGroup group, boolean relayed) {
        this.group = group;
        this.relayed = relayed;
    }

    /** Returns the link to a server; starts a relay in front of it if the site uses relays. */
    Link relayTo(InetSocketAddress server) {
        if (!relayed) {
            return new Link(server, Optional.empty());
        }
        Relay relay = Relay.start(group, server);
        relays.add(relay);
        return new Link(relay.address(), Optional.of(relay));
    }

    @Override
    public void close() {
        relays.forEach(Relay::close);
    }
}
