package org.teaselhook.core.member;

import java.util.Objects;

import org.teaselhook.core.id.Incarnation;

/**
 * What an entry says about itself.
 *
 * @param name the entry's name
 * @param incarnation this run of it
 * @param zone the availability zone
 * @param grpcAddress where agents and other entries reach it, as host:port
 * @param httpAddress where callers and operators reach it, as host:port
 * @param beat rises with each writing
 */
public record Member(
        String name, Incarnation incarnation, String zone, String grpcAddress, String httpAddress, long beat) {

    /** Checks that nothing is null. */
    public Member {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(incarnation, "incarnation is null");
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(grpcAddress, "grpcAddress is null");
        Objects.requireNonNull(httpAddress, "httpAddress is null");
    }

    /**
     * Returns what the entry says at its next writing.
     *
     * @return the same with the next beat
     */
    public Member next() {
        return new Member(name, incarnation, zone, grpcAddress, httpAddress, beat + 1);
    }

    /**
     * Returns the same with beat 0, for comparing all else.
     *
     * @return the entry without its beat
     */
    public Member withoutBeat() {
        return new Member(name, incarnation, zone, grpcAddress, httpAddress, 0);
    }

    /**
     * Tells whether this was written at another time than an earlier observation.
     *
     * @param earlier an earlier observation
     * @return true if the incarnation or the beat differs
     */
    public boolean differsFrom(Member earlier) {
        return beat != earlier.beat || !incarnation.equals(earlier.incarnation);
    }
}
