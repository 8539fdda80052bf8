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

/** The cuts between processes and what they connect to. Thread-safe. */
final class LinkCuts {

    private static final Set<RelayDirection> BOTH = EnumSet.allOf(RelayDirection.class);

    private final Map<Relay, Set<ProcessNode>> cuts = new HashMap<>();

    /** Lets the present connections of a client go silent. */
    void silence(Relay relay, ProcessNode client, Set<RelayDirection> directions) {
        relay.silence(directions, portsOf(client));
    }

    /** Lets the present and all new connections of a client be silent until healed. */
    synchronized void cut(Relay relay, ProcessNode client) {
        cuts.computeIfAbsent(relay, key -> new HashSet<>()).add(client);
        silenceNew(relay);
        relay.silence(BOTH, portsOf(client));
    }

    /** Lets new connections of a client work again. */
    synchronized void heal(Relay relay, ProcessNode client) {
        cuts.getOrDefault(relay, new HashSet<>()).remove(client);
        silenceNew(relay);
    }

    private void silenceNew(Relay relay) {
        Set<ProcessNode> clients = Set.copyOf(cuts.getOrDefault(relay, Set.of()));
        if (clients.isEmpty()) {
            relay.heal();
        } else {
            relay.silenceNew(BOTH, port -> clients.stream()
                    .anyMatch(client -> portsOf(client).test(port)));
        }
    }

    private static IntPredicate portsOf(ProcessNode client) {
        return SocketPorts.of(client.pid())::contains;
    }
}
