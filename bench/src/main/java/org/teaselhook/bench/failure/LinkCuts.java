package org.teaselhook.bench.failure;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

import org.teaselhook.bench.process.ProcessNode;
import org.teaselhook.bench.process.SocketPorts;
import org.teaselhook.standin.relay.Relay;
import org.teaselhook.standin.relay.RelayDirection;

/** Network partitions between client processes and the servers behind relays. Thread-safe. */
final class LinkCuts {

    private static final Set<RelayDirection> BOTH = EnumSet.allOf(RelayDirection.class);

    private final Map<Relay, Set<ProcessNode>> cuts = new HashMap<>();

    /** Stops forwarding on the existing connections of a client without closing them. */
    void blackhole(Relay relay, ProcessNode client, Set<RelayDirection> directions) {
        relay.blackhole(directions, portsOf(client));
    }

    /** Stops forwarding on all existing and new connections of a client until healed. */
    synchronized void cut(Relay relay, ProcessNode client) {
        cuts.computeIfAbsent(relay, key -> new HashSet<>()).add(client);
        updateNewConnections(relay);
        relay.blackhole(BOTH, portsOf(client));
    }

    /** Restores forwarding for new connections of a client. */
    synchronized void heal(Relay relay, ProcessNode client) {
        cuts.getOrDefault(relay, new HashSet<>()).remove(client);
        updateNewConnections(relay);
    }

    private void updateNewConnections(Relay relay) {
        Set<ProcessNode> clients = Set.copyOf(cuts.getOrDefault(relay, Set.of()));
        if (clients.isEmpty()) {
            relay.heal();
        } else {
            relay.blackholeNewConnections(BOTH, port -> clients.stream()
                    .anyMatch(client -> portsOf(client).test(port)));
        }
    }

    private static IntPredicate portsOf(ProcessNode client) {
        return SocketPorts.of(client.pid())::contains;
    }
}
