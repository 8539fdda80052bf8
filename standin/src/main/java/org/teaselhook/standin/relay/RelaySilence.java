package org.teaselhook.standin.relay;

import java.util.Set;
import java.util.function.IntPredicate;

/**
 * Which new connections are silent, and how.
 *
 * @param directions the silent directions
 * @param clientPorts selects connections by the port that their client connects from
 */
record RelaySilence(Set<RelayDirection> directions, IntPredicate clientPorts) {

    private static final RelaySilence NONE = new RelaySilence(Set.of(), clientPort -> false);

    RelaySilence {
        directions = Set.copyOf(directions);
    }

    static RelaySilence none() {
        return NONE;
    }

    Set<RelayDirection> directionsFor(int clientPort) {
        return directions.isEmpty() || !clientPorts.test(clientPort) ? Set.of() : directions;
    }
}
