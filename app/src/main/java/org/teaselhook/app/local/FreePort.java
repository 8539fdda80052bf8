package org.teaselhook.app.local;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Finds a port that nobody listens on.
 */
final class FreePort {

    private FreePort() {}

    /** Returns a port of 127.0.0.1 that was free a moment ago. */
    static int find() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
