package org.teaselhook.standin.relay;

import java.util.Set;
import java.util.function.IntPredicate;

/**
 * Selects the new connections whose bytes are dropped, and the directions in which they are dropped.
 *
 * @param directions the directions in which bytes are dropped
 * @param clientPorts selects connections by their client port
 */
record RelayBlackhole(Set<RelayDirection> directions, IntPredicate clientPorts) {

    private static final RelayBlackhole NONE = new RelayBlackhole(Set.of(), clientPort -> false);

    RelayBlackhole {
        directions = Set.copyOf(directions);
    }

    static RelayBlackhole none() {
        return NONE;
    }

    Set<RelayDirection> directionsFor(int clientPort) {
        return directions.isEmpty() || !clientPorts.test(clientPort) ? Set.of() : directions;
    }
}
