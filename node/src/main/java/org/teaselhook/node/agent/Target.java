package org.teaselhook.node.agent;

import java.net.InetSocketAddress;

/**
 * A target that has announced itself. Confined to the control thread.
 */
final class Target {

    private final String name;
    private final String service;
    private final InetSocketAddress address;
    private long announcedNanos;
    private boolean leaving;
    private boolean unreachable;
    private int running;

    Target(String name, String service, InetSocketAddress address) {
        this.name = name;
        this.service = service;
        this.address = address;
    }

    // -- accessors

    String name() {
        return name;
    }

    String service() {
        return service;
    }

    InetSocketAddress address() {
        return address;
    }

    int running() {
        return running;
    }

    boolean leaving() {
        return leaving;
    }

    /** Whether new tasks may be sent: it is not leaving, and has accepted connections since its last announcement. */
    boolean isAvailable() {
        return !leaving && !unreachable;
    }

    boolean matches(String otherService, InetSocketAddress otherAddress) {
        return service.equals(otherService) && address.equals(otherAddress);
    }

    long announcedNanos() {
        return announcedNanos;
    }

    // -- updates

    /** Records an announcement; returns true if it made the target available. */
    boolean announced(long nowNanos) {
        boolean wasAvailable = isAvailable() && announcedNanos != 0;
        announcedNanos = nowNanos;
        leaving = false;
        unreachable = false;
        return !wasAvailable;
    }

    void leave() {
        leaving = true;
    }

    void markUnreachable() {
        unreachable = true;
    }

    void taskStarted() {
        running++;
    }

    void taskEnded() {
        running--;
    }
}
