package org.teaselhook.standin.relay;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;

/** The settings and counters that the connections of one relay share. Safe for use by several threads. */
final class RelayState {

    private final Map<RelayDirection, LongAdder> bytes = new EnumMap<>(RelayDirection.class);
    private volatile RelaySilence silenceForNew = RelaySilence.none();
    private volatile long latencyNanos;

    RelayState() {
        for (RelayDirection direction : RelayDirection.values()) {
            bytes.put(direction, new LongAdder());
        }
    }

    // -- accessors

    Set<RelayDirection> silentFromStart(int clientPort) {
        return silenceForNew.directionsFor(clientPort);
    }

    long latencyNanos() {
        return latencyNanos;
    }

    long bytes(RelayDirection direction) {
        return bytes.get(direction).sum();
    }

    // -- changes

    void silenceNew(RelaySilence silence) {
        silenceForNew = silence;
    }

    void delayBy(long nanos) {
        latencyNanos = nanos;
    }

    void count(RelayDirection direction, int size) {
        bytes.get(direction).add(size);
    }
}
