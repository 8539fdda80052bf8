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
    private boolean suspect;
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

    /** Whether new tasks may be sent: neither leaving nor found to accept no connection since its last word. */
    boolean isAvailable() {
        return !leaving && !suspect;
    }

    boolean isSame(String otherService, InetSocketAddress otherAddress) {
        return service.equals(otherService) && address.equals(otherAddress);
    }

    long announcedNanos() {
        return announcedNanos;
    }

    // -- updates

    /** Notes an announcement, and returns true if the target has become available by it. */
    boolean announced(long nowNanos) {
        boolean before = isAvailable() && announcedNanos != 0;
        announcedNanos = nowNanos;
        leaving = false;
        suspect = false;
        return !before;
    }

    void leave() {
        leaving = true;
    }

    void suspect() {
        suspect = true;
    }

    void begin() {
        running++;
    }

    void end() {
        running--;
    }
}
