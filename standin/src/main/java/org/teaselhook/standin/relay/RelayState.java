package org.teaselhook.standin.relay;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;

/** The settings and counters shared by the connections of a relay. Thread-safe. */
final class RelayState {

    private final Map<RelayDirection, LongAdder> bytes = new EnumMap<>(RelayDirection.class);
    private volatile RelayBlackhole newConnectionBlackhole = RelayBlackhole.none();
    private volatile long latencyNanos;

    RelayState() {
        for (RelayDirection direction : RelayDirection.values()) {
            bytes.put(direction, new LongAdder());
        }
    }

    // -- accessors

    Set<RelayDirection> blackholedDirections(int clientPort) {
        return newConnectionBlackhole.directionsFor(clientPort);
    }

    long latencyNanos() {
        return latencyNanos;
    }

    long bytes(RelayDirection direction) {
        return bytes.get(direction).sum();
    }

    // -- updates

    void blackholeNewConnections(RelayBlackhole blackhole) {
        newConnectionBlackhole = blackhole;
    }

    void setLatencyNanos(long nanos) {
        latencyNanos = nanos;
    }

    void addBytes(RelayDirection direction, int size) {
        bytes.get(direction).add(size);
    }
}
