package org.teaselhook.core.member;

import java.util.Objects;

import org.teaselhook.core.id.Incarnation;

/**
 * The row of an entry in the table service: its identity, addresses and heartbeat counter.
 *
 * @param name the entry's name
 * @param incarnation the incarnation of the entry
 * @param zone the entry's availability zone
 * @param grpcAddress the address for agents and other entries, as host:port
 * @param httpAddress the address for callers and operators, as host:port
 * @param beat the heartbeat counter, incremented with each write of the row
 */
public record Member(
        String name, Incarnation incarnation, String zone, String grpcAddress, String httpAddress, long beat) {

    /** Checks that no component is null. */
    public Member {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(incarnation, "incarnation is null");
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(grpcAddress, "grpcAddress is null");
        Objects.requireNonNull(httpAddress, "httpAddress is null");
    }

    /**
     * Returns the row for the entry's next write.
     *
     * @return a copy with the heartbeat counter incremented
     */
    public Member next() {
        return new Member(name, incarnation, zone, grpcAddress, httpAddress, beat + 1);
    }

    /**
     * Returns a copy with heartbeat counter 0, for comparing all other components.
     *
     * @return the copy
     */
    public Member withoutBeat() {
        return new Member(name, incarnation, zone, grpcAddress, httpAddress, 0);
    }

    /**
     * Tells whether the row was rewritten since an earlier observation.
     *
     * @param earlier an earlier observation
     * @return true if the incarnation or the heartbeat counter differs
     */
    public boolean differsFrom(Member earlier) {
        return beat != earlier.beat || !incarnation.equals(earlier.incarnation);
    }
}
